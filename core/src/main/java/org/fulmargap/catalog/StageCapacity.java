package org.fulmargap.catalog;

/**
 * The capacity of one endpoint of a stage service.
 *
 * @param slots the number of calls that it runs at the same time
 * @param queue the number of further calls that may wait there
 * @param batch the highest number of work items in a call
 * @param callOverheadMs the time of a call without work items, in milliseconds
 * @param itemMs the approximate time of a work item, in milliseconds
 * @param resultSpaceBytes the space for results in bytes
 * @param resultLifetimeMs how long a result is kept after its call, in milliseconds
 */
public record StageCapacity(int slots, int queue, int batch, double callOverheadMs, double itemMs,
		long resultSpaceBytes, long resultLifetimeMs) {
}
