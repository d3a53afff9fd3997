package org.fulmargap.standin;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Faults of the platform stand-in. Absent fields keep their value.
 *
 * @param down whether the log closes connections without an answer and without effect
 * @param hang whether the log takes requests and never answers, without effect
 * @param slowMs the delay before a log request takes effect, in milliseconds
 * @param loseAppendAnswers the number of further appends that take effect but whose
 * answer is lost, -1 for all
 * @param cutAddresses the client IP addresses whose log and VM list requests are cut
 * @param cutPorts the platform ports on which log and VM list requests are cut
 */
record PlatformFaults(@JsonProperty("down") boolean down, @JsonProperty("hang") boolean hang,
		@JsonProperty("slow_ms") long slowMs, @JsonProperty("lose_append_answers") int loseAppendAnswers,
		@JsonProperty("cut_addresses") List<String> cutAddresses, @JsonProperty("cut_ports") List<Integer> cutPorts) {

	static final PlatformFaults NONE = new PlatformFaults(false, false, 0, 0, List.of(), List.of());

	PlatformFaults {
		if (slowMs < 0 || loseAppendAnswers < -1) {
			throw new IllegalArgumentException("slow_ms and lose_append_answers must not be negative");
		}
		cutAddresses = (cutAddresses != null) ? List.copyOf(cutAddresses) : List.of();
		cutPorts = (cutPorts != null) ? List.copyOf(cutPorts) : List.of();
	}

	PlatformFaults withLoseAppendAnswers(int count) {
		return new PlatformFaults(this.down, this.hang, this.slowMs, count, this.cutAddresses, this.cutPorts);
	}

}
