package main

// #include <stdlib.h>
import "C" // the users' machines require a binary that is linked against the C library
