/** Reads the platform's configuration file and calls its discovery service. */
package pondridge.platform;
