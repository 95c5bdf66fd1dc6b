// Package sheet reads the operators' sheet, the CSV that planners export each
// morning: it checks it whole, reports every error by row and column, and says
// what a new sheet changes. It does no I/O of its own.
package sheet
