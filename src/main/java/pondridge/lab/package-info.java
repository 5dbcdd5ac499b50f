/**
 * A bed for trials of the decision module in virtual time: many instances of it, modelled servers and
 * clients, one queue of events, no threads and no clock. The same scene gives the same day.
 */
package pondridge.lab;
