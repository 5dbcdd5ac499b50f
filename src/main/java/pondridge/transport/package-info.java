/** Which protocol is spoken to which server, and the way to all of them as one transport. */
package pondridge.transport;
