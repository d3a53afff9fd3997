package org.fulmargap.placement;

import java.util.OptionalInt;

/**
 * What an endpoint states about its load in a response.
 *
 * @param running the number of requests that it runs
 * @param waiting the number of requests that wait for a slot
 * @param slots the number of requests that it runs at the same time
 * @param slownessPercent how long work takes on its machine at this moment, in percent of
 * the usual time; empty if not stated
 */
public record EndpointLoadNotice(int running, int waiting, int slots, OptionalInt slownessPercent) {
}
