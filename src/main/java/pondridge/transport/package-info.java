/** Protocol selection for each server, and one transport over all protocols. */
package pondridge.transport;
