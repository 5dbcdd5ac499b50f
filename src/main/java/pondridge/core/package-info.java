/** What every protocol shares: the engine, which alone calls the module, and the seams to both sides. */
package pondridge.core;
