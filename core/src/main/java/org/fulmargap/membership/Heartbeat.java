package org.fulmargap.membership;

import java.util.List;
import java.util.Map;
import java.util.Objects;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * State that an entry VM sends to its peers periodically.
 *
 * @param incarnation the incarnation of the sender
 * @param leaving whether the sender is shutting down
 * @param configVersion the configuration version in force at the sender
 * @param inFlight the number of running requests at the sender
 * @param warmUpStarts the latest start of a warm-up by endpoint, milliseconds since the
 * epoch
 * @param strikes the crash reports: for each request fingerprint, the endpoints that
 * crashed while the request was in flight
 * @param ordersChecksum the checksum of the sender's orders
 * @param orders the sender's orders, empty if the receiver reported the same checksum
 * @param silentVms the members from which the sender has received nothing for the
 * eviction time
 */
@JsonInclude(JsonInclude.Include.NON_EMPTY)
public record Heartbeat(@JsonProperty(value = "incarnation", required = true) Incarnation incarnation,
		@JsonProperty("leaving") boolean leaving, @JsonProperty("config_version") long configVersion,
		@JsonProperty("in_flight") int inFlight, @JsonProperty("warm_up_starts") Map<String, Long> warmUpStarts,
		@JsonProperty("strikes") Map<String, List<String>> strikes,
		@JsonProperty("orders_checksum") long ordersChecksum, @JsonProperty("orders") List<AdminOrder> orders,
		@JsonProperty("silent_vms") List<String> silentVms) implements PeerMessage {

	/**
	 * Copies the collections; absent ones are empty.
	 */
	public Heartbeat {
		Objects.requireNonNull(incarnation, "incarnation");
		warmUpStarts = (warmUpStarts != null) ? Map.copyOf(warmUpStarts) : Map.of();
		strikes = (strikes != null) ? Map.copyOf(strikes) : Map.of();
		orders = (orders != null) ? List.copyOf(orders) : List.of();
		silentVms = (silentVms != null) ? List.copyOf(silentVms) : List.of();
	}

}
