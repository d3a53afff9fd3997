package org.fulmargap.standin;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Injected faults of the platform stand-in. Fields that a change does not contain keep
 * their value.
 *
 * @param down whether log and VM list requests have no effect and their connections are
 * closed
 * @param hang whether log and VM list requests have no effect and get no response
 * @param slowMs the delay before a log request is executed, in milliseconds
 * @param loseAppendAnswers the number of further appends that take effect and whose
 * connection is closed without a response, -1 for all
 * @param cutAddresses the client IP addresses whose log and VM list requests have no
 * effect and whose connections are closed
 * @param cutPorts the platform ports on which log and VM list requests have no effect and
 * connections are closed
 */
record PlatformFaults(@JsonProperty("down") boolean down, @JsonProperty("hang") boolean hang,
		@JsonProperty("slow_ms") long slowMs, @JsonProperty("lose_append_answers") int loseAppendAnswers,
		@JsonProperty("cut_addresses") List<String> cutAddresses, @JsonProperty("cut_ports") List<Integer> cutPorts) {

	static final PlatformFaults NONE = new PlatformFaults(false, false, 0, 0, List.of(), List.of());

	PlatformFaults {
		if (slowMs < 0 || loseAppendAnswers < -1) {
			throw new IllegalArgumentException(
					"slow_ms must not be negative, and lose_append_answers must be -1 or more");
		}
		cutAddresses = (cutAddresses != null) ? List.copyOf(cutAddresses) : List.of();
		cutPorts = (cutPorts != null) ? List.copyOf(cutPorts) : List.of();
	}

	PlatformFaults withLoseAppendAnswers(int count) {
		return new PlatformFaults(this.down, this.hang, this.slowMs, count, this.cutAddresses, this.cutPorts);
	}

}
