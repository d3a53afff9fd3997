package org.fulmargap.catalog;

/**
 * A service that gets a share of a route's requests.
 *
 * @param service the name of the service
 * @param weight the weight of its share, relative to the other services of the route
 */
public record WeightedService(String service, int weight) {
}
