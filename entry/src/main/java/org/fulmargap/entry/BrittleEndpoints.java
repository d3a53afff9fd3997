package org.fulmargap.entry;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.LongSupplier;

import org.fulmargap.placement.Brittleness;
import org.fulmargap.placement.Endpoint;
import org.fulmargap.placement.EndpointDirectory;
import org.fulmargap.placement.EndpointProcess;
import org.fulmargap.platform.EndpointAnswer;

/**
 * Hands what endpoints say about the rejections that they survive to the
 * {@link EndpointDirectory}, and logs and counts the brittle ones. Confined to the event
 * loop.
 */
final class BrittleEndpoints {

	/** The number of endpoints whose unreadable numbers are remembered. */
	private static final int MAX_UNREADABLE = 1_000;

	private final LongSupplier clockMs;

	private final EndpointDirectory directory;

	private final EntryMetrics metrics;

	private final Map<String, Integer> logged = new HashMap<>();

	private final Set<EndpointProcess> unreadable = new HashSet<>();

	BrittleEndpoints(LongSupplier clockMs, EndpointDirectory directory, EntryMetrics metrics) {
		this.clockMs = clockMs;
		this.directory = directory;
		this.metrics = metrics;
	}

	/**
	 * Records that an answer says that its endpoint is brittle, if so.
	 * @param process the process that answered
	 * @param answer the answer
	 */
	void headRead(EndpointProcess process, EndpointAnswer answer) {
		if (answer.isBrittle()) {
			this.directory.recordBrittle(process,
					new Brittleness(answer.survivedRejections(), this.clockMs.getAsLong()));
			follow(process.endpoint(), "answer");
		}
		else if (!answer.isSturdy() && this.unreadable.size() < MAX_UNREADABLE && this.unreadable.add(process)) {
			EventLog.state("endpoint_brittle_refused").with("endpoint", process.endpoint()).write();
		}
	}

	/**
	 * Records that an answer that belongs to a call does not say that its endpoint is
	 * brittle, if so.
	 * @param process the process that answered
	 * @param answer the answer
	 * @param sentAtMs when the call was sent, in milliseconds
	 */
	void accepted(EndpointProcess process, EndpointAnswer answer, long sentAtMs) {
		if (answer.isSturdy() && !answer.isMisdirected()) {
			this.directory.recordSturdy(process, sentAtMs, this.clockMs.getAsLong());
			follow(process.endpoint(), "answer");
		}
	}

	/**
	 * Records what a peer knows of brittle endpoints.
	 * @param brittle the newest observation of each process
	 */
	void reported(Map<EndpointProcess, Brittleness> brittle) {
		brittle.forEach((process, brittleness) -> {
			this.directory.recordBrittle(process, brittleness);
			follow(process.endpoint(), "peer");
		});
	}

	/**
	 * Follows the brittle times that ended because a new process started.
	 */
	void checkAgain() {
		List.copyOf(this.logged.keySet()).forEach((id) -> follow(id, "record"));
	}

	private void follow(String id, String source) {
		OptionalInt named = this.directory.find(id).map(Endpoint::survivedRejections).orElse(OptionalInt.empty());
		Integer rejections = (named.isPresent()) ? (Integer) named.getAsInt() : null;
		Integer before = (rejections != null) ? this.logged.put(id, rejections) : this.logged.remove(id);
		if (Objects.equals(rejections, before)) {
			return;
		}
		this.metrics.gauge("endpoints_brittle", this.logged.size());
		if (rejections == null) {
			EventLog.state("endpoint_brittle_ended").with("endpoint", id).with("source", source).write();
		}
		else {
			EventLog.state("endpoint_brittle")
				.with("endpoint", id)
				.with("rejections", rejections)
				.with("source", source)
				.write();
		}
	}

}
