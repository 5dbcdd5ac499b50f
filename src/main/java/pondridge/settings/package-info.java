/** Settings of bankflow's own in TOML files: read and checked whole, each mistake named by file and key. */
package pondridge.settings;
