/**
 * What a pool of connections decides, whatever protocol they speak: who waits, who gets which place, when one
 * more connection is worth dialling, and who makes room for whom. No I/O, no clock, no thread.
 */
package pondridge.pool;
