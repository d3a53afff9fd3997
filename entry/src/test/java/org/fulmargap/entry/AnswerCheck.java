package org.fulmargap.entry;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

import org.fulmargap.platform.standin.AnswerLedger;
import org.fulmargap.platform.standin.StreamEvents;

/**
 * Compares what callers received with what the endpoints answered.
 */
final class AnswerCheck {

	/** How long after its timeout a request may go without an answer. */
	private static final long SLACK_MS = 500;

	private final AnswerLedger ledger;

	private final Set<String> postIds = ConcurrentHashMap.newKeySet();

	private final Set<String> sentIds = ConcurrentHashMap.newKeySet();

	private final Set<String> promisedIds = ConcurrentHashMap.newKeySet();

	private final Map<String, String> mistakes = new ConcurrentHashMap<>();

	private final Map<String, String> late = new ConcurrentHashMap<>();

	AnswerCheck(AnswerLedger ledger) {
		this.ledger = ledger;
	}

	static int timeoutMs(CallerMethod method) {
		return (int) (method.timeoutMs() + SLACK_MS);
	}

	void sent(String attemptId, CallerMethod method) {
		this.sentIds.add(attemptId);
		if (method == CallerMethod.POST) {
			this.postIds.add(attemptId);
		}
	}

	void unasked(String lastAttemptId, String bytes) {
		if (!bytes.isEmpty()) {
			mistake(lastAttemptId, "bytes without a request after its answer: " + bytes);
		}
	}

	void received(String attemptId, CallerMethod method, ReceivedAnswer answer) {
		if (isLate(method, answer)) {
			this.late.put(attemptId, "no end of the answer in time; " + method + " got " + answer);
		}
		String mistake = findMistake(attemptId, method, answer);
		if (!mistake.isEmpty()) {
			mistake(attemptId, mistake + "; " + method + " got " + answer);
		}
		if (answer.promisesNoRun()) {
			this.promisedIds.add(attemptId);
		}
	}

	private static boolean isLate(CallerMethod method, ReceivedAnswer answer) {
		return answer.end() == ReceivedAnswer.End.SILENT || answer.afterMs() > timeoutMs(method);
	}

	private String findMistake(String attemptId, CallerMethod method, ReceivedAnswer answer) {
		if (answer.end() == ReceivedAnswer.End.MALFORMED) {
			return "no answer in HTTP";
		}
		if (answer.end() == ReceivedAnswer.End.SILENT) {
			return "";
		}
		if (!answer.attemptId().isEmpty() && !answer.attemptId().equals(attemptId)) {
			return "the answer names another request";
		}
		if (answer.signature().isEmpty()) {
			return (answer.isSuccess()) ? "a success without a signature" : "";
		}
		Optional<AnswerLedger.Given> given = this.ledger.answer(answer.signature());
		if (given.isEmpty()) {
			return "no endpoint gave this signature as its answer";
		}
		return findMistake(attemptId, method, answer, given.get());
	}

	private static String findMistake(String attemptId, CallerMethod method, ReceivedAnswer answer,
			AnswerLedger.Given given) {
		if (!given.attemptId().equals(attemptId)) {
			return "the answer was given to " + given.attemptId();
		}
		if (given.status() != answer.status()) {
			return "the endpoint gave the status " + given.status();
		}
		boolean stream = method == CallerMethod.STREAM && answer.isSuccess();
		String body = (stream) ? String.join("", StreamEvents.from(attemptId, 0)) : given.body();
		if (!body.startsWith(answer.body())) {
			return "the body differs from that of the endpoint";
		}
		if (answer.isComplete() && method != CallerMethod.HEAD && answer.body().length() < body.length()) {
			return "the body looks complete, but has " + answer.body().length() + " of " + body.length() + " bytes";
		}
		return "";
	}

	private void mistake(String attemptId, String text) {
		this.mistakes.merge(attemptId, text, (first, second) -> first + "\n" + second);
	}

	/**
	 * Checks the runs of all requests, when no more can follow.
	 */
	void checkRuns() {
		for (String attemptId : this.ledger.attemptsThatRan()) {
			if (!this.sentIds.contains(attemptId)) {
				mistake(attemptId, "it ran, but no caller sent it");
			}
		}
		for (String attemptId : this.postIds) {
			int runs = this.ledger.runs(attemptId);
			if (runs > 1) {
				mistake(attemptId, "a POST ran " + runs + " times");
			}
			if (runs > 0 && this.promisedIds.contains(attemptId)) {
				mistake(attemptId, "a POST ran, but was answered as not run");
			}
		}
	}

	/**
	 * Returns what was wrong.
	 * @return texts by attempt id
	 */
	Map<String, String> mistakes() {
		return new TreeMap<>(this.mistakes);
	}

	/**
	 * Returns the requests without an answer in time.
	 * @return texts by attempt id
	 */
	Map<String, String> late() {
		return new TreeMap<>(this.late);
	}

}
