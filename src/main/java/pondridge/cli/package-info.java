/** One command line over it all. The platform's run and sim don't pass through it. */
package pondridge.cli;
