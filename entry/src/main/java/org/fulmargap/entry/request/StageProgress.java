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
 * How far one stage of one request is. Confined to the event loop.
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
	 * Creates the progress of a stage that has not begun.
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
	 * Tells whether all work items have read their inputs.
	 * @return {@code true} if the inputs are needed again only if a call fails
	 */
	boolean needsNoInputs() {
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
	 * @return their indexes
	 */
	List<Integer> missing() {
		List<Integer> missing = new ArrayList<>();
		for (int i = 0; i < this.outcomes.length; i++) {
			if (this.outcomes[i] == null) {
				missing.add(i);
			}
		}
		return missing;
	}

	void submitted(long itemId) {
		this.itemIds.add(itemId);
	}

	void ended(long itemId) {
		this.itemIds.remove(itemId);
	}

	/**
	 * Takes the work items that were submitted and have not ended.
	 * @return the numbers of the work items, which are forgotten here
	 */
	List<Long> takeItemIds() {
		List<Long> taken = List.copyOf(this.itemIds);
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
	 * Commits to all work items.
	 * @return the number of work items that count as work from now on
	 */
	int admit() {
		this.admitted = this.outcomes.length;
		return this.admitted;
	}

	/**
	 * Gives up what is left.
	 * @return the number of work items that count as work no more
	 */
	int takeAdmitted() {
		int left = this.admitted;
		this.admitted = 0;
		return left;
	}

	/**
	 * Prepares the work items without a result to be submitted anew.
	 */
	void rewind() {
		this.started = false;
		for (int i = 0; i < this.outcomes.length; i++) {
			this.inputsRead[i] = this.outcomes[i] != null;
		}
	}

	/**
	 * Forgets all results, so that they are made anew.
	 * @return the number of work items that count as work again
	 */
	int forget() {
		int again = this.done;
		this.admitted += again;
		this.done = 0;
		this.released = false;
		Arrays.fill(this.outcomes, null);
		return again;
	}

	/**
	 * Returns the results.
	 * @return the outcomes of the work items that are done
	 */
	List<WorkItemOutcome> results() {
		return Arrays.stream(this.outcomes).filter(Objects::nonNull).toList();
	}

	/**
	 * Returns the names of the results.
	 * @return the names
	 */
	List<String> handles() {
		return results().stream().map(WorkItemOutcome::handle).toList();
	}

	boolean isReleased() {
		return this.released;
	}

	/**
	 * Records that the results were given up.
	 */
	void release() {
		this.released = true;
	}

}
