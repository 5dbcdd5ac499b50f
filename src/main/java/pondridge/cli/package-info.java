/** The command line {@code bankflow}. The platform's commands {@code run} and {@code sim} do not use it. */
package pondridge.cli;
