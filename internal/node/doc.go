// Package node is the process of an entry VM on the users' machines: it answers callers,
// follows the configuration, and either is the owner that decides, or follows the owner.
package node
