package org.fulmargap.catalog;

/**
 * What one endpoint of a stage service can take.
 *
 * @param slots the calls that it works on at the same time
 * @param queue the calls that may wait there
 * @param batch the highest number of work items in a call
 * @param callOverheadMs the time of a call without work items, in milliseconds
 * @param itemMs the approximate time of a work item, in milliseconds
 * @param resultSpaceBytes the room for results in bytes
 * @param resultLifetimeMs how long a result is kept after its call, in milliseconds
 */
public record StageCapacity(int slots, int queue, int batch, double callOverheadMs, double itemMs,
		long resultSpaceBytes, long resultLifetimeMs) {
}
