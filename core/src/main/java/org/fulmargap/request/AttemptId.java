package org.fulmargap.request;

import java.util.Objects;

/**
 * Identity of one attempt to run one stage. No two attempts share an identity, because
 * the incarnation differs between two starts of the same entry VM.
 *
 * @param incarnation the incarnation of the entry VM that makes the attempt
 * @param requestNumber the number of the request within the incarnation
 * @param stageIndex the index of the stage within the pipeline, from zero
 * @param attempt the number of the attempt at this stage, from zero
 */
public record AttemptId(String incarnation, long requestNumber, int stageIndex, int attempt) {

	/**
	 * Checks the components.
	 */
	public AttemptId {
		Objects.requireNonNull(incarnation, "incarnation");
		if (incarnation.isEmpty() || incarnation.indexOf('/') >= 0) {
			throw new IllegalArgumentException("incarnation must not be empty or contain '/': " + incarnation);
		}
		if (requestNumber < 0 || stageIndex < 0 || attempt < 0) {
			throw new IllegalArgumentException("requestNumber, stageIndex and attempt must not be negative");
		}
	}

	/**
	 * Parses the text form.
	 * @param text four parts separated by slashes, as {@link #toString()} returns
	 * @return the attempt id
	 * @throws IllegalArgumentException if the text has a different form
	 */
	public static AttemptId parse(String text) {
		String[] parts = Objects.requireNonNull(text, "text").split("/", -1);
		if (parts.length != 4) {
			throw new IllegalArgumentException("attempt id must have four parts: " + text);
		}
		return new AttemptId(parts[0], Long.parseLong(parts[1]), Integer.parseInt(parts[2]),
				Integer.parseInt(parts[3]));
	}

	/**
	 * Returns the id of the request that this attempt belongs to.
	 * @return the incarnation and the request number, separated by a slash
	 */
	public String requestId() {
		return this.incarnation + "/" + this.requestNumber;
	}

	@Override
	public String toString() {
		return requestId() + "/" + this.stageIndex + "/" + this.attempt;
	}

}
