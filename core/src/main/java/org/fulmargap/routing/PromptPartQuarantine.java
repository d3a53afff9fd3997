package org.fulmargap.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which parts of prompts crash the engines that answer them. Each crash counts
 * against the shared parts of the requests that were in flight at the engine and had not
 * been answered. An answer that continues after its first event clears the parts of its
 * prompt of the crashes before it. Confined to one thread.
 */
public final class PromptPartQuarantine {

	/** How long crashes and verdicts are kept, in milliseconds. */
	public static final long LIFETIME_MS = 600_000;

	/**
	 * A lost connection counts as a crash only if the crash is confirmed within this
	 * time, in milliseconds.
	 */
	static final long CONFIRMATION_MS = 5_000;

	/**
	 * Crashes within this time count as one, in milliseconds. Engines that are lost
	 * together, for example with the power of a failure domain, say little about the
	 * requests that they ran.
	 */
	static final long SAME_MOMENT_MS = 400;

	/** The number of crashes after which no request is repeated. */
	static final int CRASHES_TO_STOP_REPEATS = 2;

	/**
	 * The number of crashes after which a part that was never answered is refused, if at
	 * one of them no other such part was present.
	 */
	static final int CRASHES_TO_REFUSE_NEW = 3;

	/**
	 * The number of crashes after which any part is refused, unless parts that are
	 * refused already explain them.
	 */
	static final int CRASHES_TO_REFUSE = 5;

	private static final int MAX_CRASHES = 512;

	private static final int MAX_PARTS = 4_096;

	private static final int MAX_VERDICTS = 128;

	private static final int MAX_LOST = 512;

	private final LinkedHashMap<String, Crash> crashes = new LinkedHashMap<>();

	// The parts in the order of their last answers.
	private final LinkedHashMap<String, Long> answeredAtMs = new LinkedHashMap<>();

	private final LinkedHashMap<Set<String>, PartVerdict> verdicts = new LinkedHashMap<>();

	private final List<LostRequest> lostRequests = new ArrayList<>();

	/**
	 * Records that the connection of an unanswered request was lost.
	 * @param endpoint the name of the engine
	 * @param process identifies the start of the engine's process
	 * @param parts the shared parts of the prompt
	 * @param nowMs the current time in milliseconds
	 */
	public void connectionLost(String endpoint, String process, Set<String> parts, long nowMs) {
		this.lostRequests.removeIf((lost) -> nowMs - lost.atMs > CONFIRMATION_MS);
		if (!parts.isEmpty() && this.lostRequests.size() < MAX_LOST) {
			this.lostRequests.add(new LostRequest(endpoint, process, Set.copyOf(parts), nowMs));
		}
	}

	/**
	 * Returns whether lost connections to an engine have not been confirmed as a crash.
	 * @param endpoint the name of the engine
	 * @return {@code true} if there are some
	 */
	public boolean awaitsConfirmation(String endpoint) {
		return this.lostRequests.stream().anyMatch((lost) -> lost.endpoint.equals(endpoint));
	}

	/**
	 * Forgets lost connections to an engine that may be cut off from this VM.
	 * @param endpoint the name of the engine
	 */
	public void forgetLost(String endpoint) {
		this.lostRequests.removeIf((lost) -> lost.endpoint.equals(endpoint));
	}

	/**
	 * Records that an engine crashed. The crash counts against the parts of the requests
	 * whose connections to it were lost shortly before.
	 * @param endpoint the name of the engine
	 * @param nowMs the current time in milliseconds
	 * @return the crash for the other VMs, or empty if no request here is affected
	 */
	public Optional<PartCrash> confirmCrash(String endpoint, long nowMs) {
		Set<String> parts = new HashSet<>();
		String process = null;
		long atMs = nowMs;
		for (Iterator<LostRequest> i = this.lostRequests.iterator(); i.hasNext();) {
			LostRequest lost = i.next();
			if (lost.endpoint.equals(endpoint)) {
				i.remove();
				if (nowMs - lost.atMs <= CONFIRMATION_MS) {
					parts.addAll(lost.parts);
					process = lost.process;
					atMs = Math.min(atMs, lost.atMs);
				}
			}
		}
		if (parts.isEmpty()) {
			return Optional.empty();
		}
		PartCrash crash = new PartCrash(process, atMs, parts);
		add(crash, nowMs);
		return Optional.of(crash);
	}

	/**
	 * Adds a crash that this VM or a peer observed.
	 * @param report the crash
	 * @param nowMs the current time in milliseconds
	 */
	public void add(PartCrash report, long nowMs) {
		expire(nowMs);
		if (nowMs - report.atMs() >= LIFETIME_MS) {
			return;
		}
		Crash crash = this.crashes.computeIfAbsent(report.process(), (process) -> new Crash(report.atMs()));
		trim(this.crashes, MAX_CRASHES);
		for (String part : report.parts()) {
			if (!wasAnsweredAfter(part, crash.atMs) && crash.parts.size() < MAX_PARTS) {
				crash.parts.add(part);
			}
		}
		evaluate(report.parts(), nowMs);
	}

	private boolean wasAnsweredAfter(String part, long atMs) {
		Long answered = this.answeredAtMs.get(part);
		return answered != null && answered > atMs;
	}

	// The parts that were never answered.
	private Set<String> newParts(Set<String> parts) {
		Set<String> neverAnswered = new HashSet<>(parts);
		neverAnswered.removeAll(this.answeredAtMs.keySet());
		return neverAnswered;
	}

	/**
	 * Records that an engine answered a request beyond the first event, or to its end.
	 * @param parts the shared parts of the prompt
	 * @param atMs when, in milliseconds
	 * @param nowMs the current time in milliseconds
	 * @return the parts that were suspected or refused before, for the other VMs
	 */
	public Set<String> answered(Set<String> parts, long atMs, long nowMs) {
		Set<String> cleared = new HashSet<>();
		for (String part : parts) {
			if (clear(part, atMs)) {
				cleared.add(part);
			}
			recordAnswer(part, atMs);
		}
		if (!cleared.isEmpty()) {
			shrinkVerdicts(nowMs);
			evaluate(suspectedParts(), nowMs);
		}
		return cleared;
	}

	private void recordAnswer(String part, long atMs) {
		Long previousAtMs = this.answeredAtMs.remove(part);
		this.answeredAtMs.put(part, (previousAtMs != null) ? Math.max(previousAtMs, atMs) : atMs);
		trim(this.answeredAtMs, MAX_PARTS);
	}

	private boolean clear(String part, long atMs) {
		boolean suspected = false;
		for (Crash crash : this.crashes.values()) {
			suspected |= crash.atMs < atMs && crash.parts.remove(part);
		}
		for (PartVerdict verdict : this.verdicts.values()) {
			suspected |= verdict.sinceMs() < atMs && verdict.parts().contains(part);
		}
		return suspected;
	}

	// A part that is sound explains none of the crashes, so the others of its verdict do.
	private void shrinkVerdicts(long nowMs) {
		List<PartVerdict> present = List.copyOf(this.verdicts.values());
		this.verdicts.clear();
		present.forEach((verdict) -> put(verdict, nowMs));
	}

	/**
	 * Adds a verdict of another VM or from the store. Parts that were answered here
	 * before are left out of it: the crashes that this VM heard of decide on them.
	 * @param verdict the verdict
	 * @param nowMs the current time in milliseconds
	 */
	public void add(PartVerdict verdict, long nowMs) {
		expire(nowMs);
		if (!this.verdicts.containsKey(verdict.parts())) {
			put(new PartVerdict(newParts(verdict.parts()), verdict.sinceMs(), verdict.untilMs()), nowMs);
		}
	}

	private void put(PartVerdict verdict, long nowMs) {
		Set<String> parts = new HashSet<>(verdict.parts());
		parts.removeIf((part) -> wasAnsweredAfter(part, verdict.sinceMs()));
		boolean covered = this.verdicts.keySet().stream().anyMatch(parts::containsAll);
		if (parts.isEmpty() || covered || verdict.untilMs() <= nowMs) {
			return;
		}
		this.verdicts.keySet().removeIf((other) -> other.containsAll(parts));
		this.verdicts.put(Set.copyOf(parts), new PartVerdict(parts, verdict.sinceMs(), verdict.untilMs()));
		trim(this.verdicts, MAX_VERDICTS);
	}

	/**
	 * Returns whether a request must be refused.
	 * @param parts the shared parts of its prompt
	 * @param nowMs the current time in milliseconds
	 * @return {@code true} if its prompt holds all parts of a verdict
	 */
	public boolean mustRefuse(Set<String> parts, long nowMs) {
		return this.verdicts.values()
			.stream()
			.anyMatch((verdict) -> nowMs < verdict.untilMs() && parts.containsAll(verdict.parts()));
	}

	/**
	 * Returns whether a request whose call was lost may be sent to another engine.
	 * @param parts the shared parts of its prompt
	 * @param nowMs the current time in milliseconds
	 * @return {@code false} if several crashes already count against one of the parts
	 */
	public boolean mayRepeat(Set<String> parts, long nowMs) {
		if (mustRefuse(parts, nowMs)) {
			return false;
		}
		return parts.stream().noneMatch((part) -> isSuspected(part, parts));
	}

	// Several requests with a part that was never answered are not expected at engines
	// that are lost together, so each of their crashes counts.
	private boolean isSuspected(String part, Set<String> parts) {
		List<Crash> against = unexplainedCrashes(part, false);
		int counted = (this.answeredAtMs.containsKey(part)) ? moments(against) : against.size();
		return counted >= CRASHES_TO_STOP_REPEATS && parts.containsAll(commonParts(against));
	}

	/**
	 * Returns the verdicts in force.
	 * @param nowMs the current time in milliseconds
	 * @return the verdicts
	 */
	public List<PartVerdict> verdicts(long nowMs) {
		return this.verdicts.values().stream().filter((verdict) -> nowMs < verdict.untilMs()).toList();
	}

	/**
	 * Returns whether a verdict no longer holds.
	 * @param verdict the verdict
	 * @param nowMs the current time in milliseconds
	 * @return {@code true} if it has expired, one of its parts was answered since, or a
	 * verdict on fewer of its parts replaces it
	 */
	public boolean isOutdated(PartVerdict verdict, long nowMs) {
		return nowMs >= verdict.untilMs()
				|| verdict.parts().stream().anyMatch((part) -> wasAnsweredAfter(part, verdict.sinceMs()))
				|| this.verdicts.keySet()
					.stream()
					.anyMatch((parts) -> parts.size() < verdict.parts().size() && verdict.parts().containsAll(parts));
	}

	private Set<String> suspectedParts() {
		Set<String> parts = new HashSet<>();
		this.crashes.values().forEach((crash) -> parts.addAll(crash.parts));
		return parts;
	}

	private void evaluate(Collection<String> parts, long nowMs) {
		for (String part : newParts(Set.copyOf(parts))) {
			evaluateNew(part, nowMs);
		}
		for (String part : parts) {
			List<Crash> against = unexplainedCrashes(part, true);
			if (moments(against) >= CRASHES_TO_REFUSE) {
				refuse(commonParts(against), against, nowMs);
			}
		}
	}

	private void evaluateNew(String part, long nowMs) {
		List<Crash> against = unexplainedCrashes(part, false);
		if (moments(against) < CRASHES_TO_REFUSE_NEW) {
			return;
		}
		Set<String> common = newParts(commonParts(against));
		if (against.stream().anyMatch((crash) -> common.containsAll(newParts(crash.parts)))) {
			refuse(common, against, nowMs);
		}
	}

	private void refuse(Set<String> parts, List<Crash> against, long nowMs) {
		Set<String> neverAnswered = newParts(parts);
		put(new PartVerdict((neverAnswered.isEmpty()) ? parts : neverAnswered, against.get(0).atMs,
				nowMs + LIFETIME_MS), nowMs);
	}

	// The crashes that count against a part, in the order of time, without those at which
	// parts were present that are refused anyway.
	private List<Crash> unexplainedCrashes(String part, boolean explainedByGroups) {
		List<Crash> against = new ArrayList<>();
		for (Crash crash : this.crashes.values()) {
			if (crash.parts.contains(part) && !isExplained(crash, part, explainedByGroups)) {
				against.add(crash);
			}
		}
		against.sort((left, right) -> Long.compare(left.atMs, right.atMs));
		return against;
	}

	private boolean isExplained(Crash crash, String part, boolean byGroups) {
		for (Set<String> refused : this.verdicts.keySet()) {
			boolean independent = !refused.contains(part) || (byGroups && refused.size() > 1);
			if (independent && crash.parts.containsAll(refused)) {
				return true;
			}
		}
		return false;
	}

	// Parts that were present at all crashes explain them equally well.
	private static Set<String> commonParts(List<Crash> crashes) {
		Set<String> common = new HashSet<>(crashes.get(0).parts);
		crashes.forEach((crash) -> common.retainAll(crash.parts));
		return common;
	}

	private static int moments(List<Crash> crashes) {
		int moments = 0;
		long countedAtMs = 0;
		for (Crash crash : crashes) {
			if (moments == 0 || crash.atMs - countedAtMs >= SAME_MOMENT_MS) {
				moments++;
				countedAtMs = crash.atMs;
			}
		}
		return moments;
	}

	private void expire(long nowMs) {
		this.crashes.values().removeIf((crash) -> nowMs - crash.atMs >= LIFETIME_MS);
		this.verdicts.values().removeIf((verdict) -> nowMs >= verdict.untilMs());
	}

	private static <K, V> void trim(LinkedHashMap<K, V> map, int size) {
		for (Iterator<K> i = map.keySet().iterator(); map.size() > size && i.hasNext();) {
			i.next();
			i.remove();
		}
	}

	private record LostRequest(String endpoint, String process, Set<String> parts, long atMs) {
	}

	private static final class Crash {

		private final long atMs;

		private final Set<String> parts = new HashSet<>();

		private Crash(long atMs) {
			this.atMs = atMs;
		}

	}

}
