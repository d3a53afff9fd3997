package org.fulmargap.catalog;

/**
 * A group of endpoints that do the same work.
 *
 * @param name the name of the service
 * @param maxConnections the connections that one endpoint takes from all callers
 * @param coldPerSecond the requests a second that an endpoint bears while it is cold; 0
 * if it never is
 * @param engine what an engine can take, or {@code null} if these are no model engines
 * @param stage what a stage endpoint can take, or {@code null} if these do no stage
 */
public record ServiceSpec(String name, int maxConnections, double coldPerSecond, EngineCapacity engine,
		StageCapacity stage) {
}
