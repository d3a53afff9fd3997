package org.fulmargap.rollout;

/**
 * The bounds of what a bad software version may get.
 *
 * @param exposureShare the share of all requests to the service between the order and its
 * time limit, from 0 to 1
 * @param exposureSlack the requests that it may get in addition
 * @param rollbackMs the time after the 50th bad answer from which on it may get no
 * request, in milliseconds
 */
public record RolloutLimits(double exposureShare, long exposureSlack, long rollbackMs) {
}
