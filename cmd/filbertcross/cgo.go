package main

// #include <stdlib.h>
import "C" // the users' machines need a program that is linked against the C library
