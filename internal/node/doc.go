// Package node implements the process of an entry VM on the users' machines. It serves callers,
// watches the operators' configuration, and is either the elected owner, which schedules, or a
// follower of the owner.
package node
