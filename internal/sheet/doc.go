// Package sheet parses the operators' sheet of shares, which planners export as CSV
// each morning. It validates the whole sheet, reports every problem with its row and
// column, computes the difference between two sheets and writes a sheet in canonical
// form. It does not access files or the network.
package sheet
