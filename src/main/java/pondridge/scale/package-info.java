/**
 * Measures what a fleet costs as it grows: hollow sidecars, hundreds to thousands in this process, follow one
 * list beside a few real ones under load, at several sizes and through scripted faults; the slope of each
 * figure over the sizes is what capacity is planned with. What decides and computes ({@link
 * pondridge.scale.ScalePlan}, {@link pondridge.scale.Schedule}, {@link pondridge.scale.Knowledge}, {@link
 * pondridge.scale.Slope}) is apart from sockets, and how lists travel is behind {@link
 * pondridge.scale.ListWay}.
 */
package pondridge.scale;
