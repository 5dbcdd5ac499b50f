/** Reads and validates the TOML settings files of bankflow; each error names the file and the key. */
package pondridge.settings;
