/** What the platform tells a program at its start and while it runs: its configuration and discovery. */
package pondridge.platform;
