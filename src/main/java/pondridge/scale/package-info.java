/**
 * Measures how the cost of a fleet grows with its size. Hundreds to thousands of hollow sidecars in this process
 * follow one endpoint list beside a few real sidecars under load, at several fleet sizes and through scripted
 * faults. Capacity is planned with the slope of each figure over the sizes. Planning and computation ({@link
 * pondridge.scale.ScalePlan}, {@link pondridge.scale.Schedule}, {@link pondridge.scale.PropagationTracker}, {@link
 * pondridge.scale.Slope}) use no sockets; {@link pondridge.scale.ListDistribution} is the interface to the
 * mechanism that distributes the list.
 */
package pondridge.scale;
