package org.fulmargap.membership;

import java.util.Objects;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * First message on a link, sent by both sides.
 *
 * @param vm the name of the sender
 * @param incarnation the incarnation of the sender
 * @param failureDomain the failure domain of the sender
 * @param protocolVersion the version of the frame protocol
 * @param peerAddress the address at which the sender accepts links, {@code IP:port}
 */
public record Hello(@JsonProperty(value = "vm", required = true) String vm,
		@JsonProperty(value = "incarnation", required = true) Incarnation incarnation,
		@JsonProperty(value = "failure_domain", required = true) String failureDomain,
		@JsonProperty(value = "protocol_version", required = true) int protocolVersion,
		@JsonProperty(value = "peer_address", required = true) String peerAddress) implements PeerMessage {

	/** The version of the frame protocol that this code implements. */
	public static final int PROTOCOL_VERSION = 1;

	/**
	 * Checks the components.
	 */
	public Hello {
		Objects.requireNonNull(vm, "vm");
		Objects.requireNonNull(incarnation, "incarnation");
		Objects.requireNonNull(failureDomain, "failure_domain");
		Objects.requireNonNull(peerAddress, "peer_address");
		if (!incarnation.vm().equals(vm)) {
			throw new IllegalArgumentException("incarnation " + incarnation + " does not belong to VM " + vm);
		}
	}

}
