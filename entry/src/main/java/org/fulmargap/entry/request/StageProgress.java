package org.fulmargap.entry.request;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

import org.fulmargap.catalog.StageSpec;
import org.fulmargap.entry.stage.WorkItemOutcome;

/**
 * The progress of one stage of one request. Confined to the event loop.
 */
final class StageProgress {

	private final StageSpec spec;

	private final WorkItemOutcome[] outcomes;

	private final boolean[] inputsRead;

	private final Set<Long> itemIds = new HashSet<>();

	private int done;

	private int admitted;

	private boolean started;

	private long startedAtMs;

	private boolean released;

	/**
	 * Creates the progress of a stage that has not started.
	 * @param spec the stage
	 * @param itemCount the number of its work items; 0 if the request omits the stage
	 */
	StageProgress(StageSpec spec, int itemCount) {
		this.spec = spec;
		this.outcomes = new WorkItemOutcome[itemCount];
		this.inputsRead = new boolean[itemCount];
	}

	StageSpec spec() {
		return this.spec;
	}

	String service() {
		return this.spec.service();
	}

	int itemCount() {
		return this.outcomes.length;
	}

	boolean isOmitted() {
		return this.outcomes.length == 0;
	}

	boolean isStarted() {
		return this.started;
	}

	long startedAtMs() {
		return this.startedAtMs;
	}

	void start(long nowMs) {
		this.started = true;
		this.startedAtMs = nowMs;
	}

	boolean isDone() {
		return this.started && this.done == this.outcomes.length;
	}

	/**
	 * Returns whether all work items have read their inputs.
	 * @return {@code true} if they have, so that the inputs are needed again only if a
	 * call fails
	 */
	boolean hasReadInputs() {
		if (!this.started) {
			return false;
		}
		for (boolean read : this.inputsRead) {
			if (!read) {
				return false;
			}
		}
		return true;
	}

	/**
	 * Returns the work items that have no result.
	 * @return their indexes in the stage
	 */
	List<Integer> unfinished() {
		List<Integer> unfinished = new ArrayList<>();
		for (int i = 0; i < this.outcomes.length; i++) {
			if (this.outcomes[i] == null) {
				unfinished.add(i);
			}
		}
		return unfinished;
	}

	void submitted(long itemId) {
		this.itemIds.add(itemId);
	}

	void ended(long itemId) {
		this.itemIds.remove(itemId);
	}

	/**
	 * Returns the work items that were submitted and have not ended.
	 * @return the ids of the work items
	 */
	List<Long> itemIds() {
		return List.copyOf(this.itemIds);
	}

	/**
	 * Returns and clears the work items that were submitted and have not ended.
	 * @return the ids of the work items
	 */
	List<Long> takeItemIds() {
		List<Long> taken = itemIds();
		this.itemIds.clear();
		return taken;
	}

	void inputsRead(int index) {
		this.inputsRead[index] = true;
	}

	void done(int index, WorkItemOutcome outcome) {
		this.outcomes[index] = outcome;
		this.inputsRead[index] = true;
		this.done++;
		this.admitted--;
	}

	/**
	 * Counts all work items as admitted work.
	 * @return the number of work items to add to the admitted work
	 */
	int admit() {
		this.admitted = this.outcomes.length;
		return this.admitted;
	}

	/**
	 * Stops counting the remaining work items as admitted work.
	 * @return the number of work items to remove from the admitted work
	 */
	int takeAdmitted() {
		int remaining = this.admitted;
		this.admitted = 0;
		return remaining;
	}

	/**
	 * Prepares the work items without a result to be submitted again.
	 */
	void reset() {
		this.started = false;
		for (int i = 0; i < this.outcomes.length; i++) {
			this.inputsRead[i] = this.outcomes[i] != null;
		}
	}

	/**
	 * Discards all results, so that their work items run again.
	 * @return the number of work items to add to the admitted work again
	 */
	int discardResults() {
		int discarded = this.done;
		this.admitted += discarded;
		this.done = 0;
		this.released = false;
		Arrays.fill(this.outcomes, null);
		return discarded;
	}

	/**
	 * Returns the results.
	 * @return the outcomes of the work items that have a result
	 */
	List<WorkItemOutcome> results() {
		return Arrays.stream(this.outcomes).filter(Objects::nonNull).toList();
	}

	/**
	 * Returns the handles of the results.
	 * @return the handles
	 */
	List<String> handles() {
		return results().stream().map(WorkItemOutcome::handle).toList();
	}

	boolean isReleased() {
		return this.released;
	}

	/**
	 * Records that the results were released.
	 */
	void release() {
		this.released = true;
	}

}
