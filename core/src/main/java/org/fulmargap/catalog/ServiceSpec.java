package org.fulmargap.catalog;

/**
 * A service: a group of endpoints that do the same work.
 *
 * @param name the name of the service
 * @param maxConnections the highest number of connections to one endpoint, from all
 * callers together; 0 if not stated
 * @param coldPerSecond the rate that an endpoint can handle while it is cold, in requests
 * per second; 0 for no limit
 * @param engine the capacity of one endpoint, or {@code null} if they aren't model
 * engines
 * @param stage the capacity of one endpoint, or {@code null} if they don't run a stage
 */
public record ServiceSpec(String name, int maxConnections, double coldPerSecond, EngineCapacity engine,
		StageCapacity stage) {
}
