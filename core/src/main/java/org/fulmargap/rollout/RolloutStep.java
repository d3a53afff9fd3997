package org.fulmargap.rollout;

/**
 * What the coordinator of a service allows the VMs to send to the new version.
 *
 * @param orderId the id of the order
 * @param number the number of the step; a later one of the same order is higher
 * @param share the share of the requests, from 0 to 1
 * @param concentrated whether only so few new endpoints get them that each carries at
 * least the load of an old one, which shows faults under load while the share is small
 * @param state the state of the rollout
 */
public record RolloutStep(long orderId, int number, double share, boolean concentrated, RolloutState state) {
}
