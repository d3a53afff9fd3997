package org.fulmargap.batch;

import java.util.List;

import org.fulmargap.placement.Endpoint;

/**
 * A call that sends a batch of work items to one endpoint.
 *
 * @param endpoint the endpoint
 * @param items the work items in the order of the call
 * @param expectedMs the expected time of the call at an endpoint of usual speed, in
 * milliseconds
 */
public record StageCall(Endpoint endpoint, List<WorkItem> items, double expectedMs) {
}
