package org.fulmargap.config;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;

/**
 * Deterministic state machine that applies the configuration stream. It follows the
 * stream record by record. After a gap, or if it starts in the middle of the stream, it
 * buffers records until it finds a snapshot. Until then the previous state, if any, stays
 * in force. Instances are not thread safe.
 */
public final class ConfigLedger {

	/**
	 * The maximum number of records buffered while a snapshot is searched. A snapshot is
	 * at most a few hundred records behind the first record that it does not include.
	 */
	private static final int MAX_BUFFERED = 20_000;

	private final Deque<BufferedRecord> buffer = new ArrayDeque<>();

	private ConfigState state = ConfigState.INITIAL;

	private ConfigState previousState;

	private Configuration configuration = Configuration.EMPTY;

	private long configurationVersion;

	private JsonNode pendingResult;

	private Configuration pendingConfiguration;

	private long nextOffset;

	private long firstRetained;

	private long end;

	private boolean following;

	private boolean boundsKnown;

	private boolean snapshotStale;

	private long snapshotOffset = -1;

	private long snapshotAppendedAtMs;

	private int recordsSinceSnapshot;

	/**
	 * Updates the bounds of the stream. Call this before the records of a page are
	 * applied.
	 * @param firstOffset the first offset that is retained
	 * @param endOffset the offset that the next append gets
	 * @return a gap event if records are missing, otherwise empty
	 */
	public List<ConfigEvent> observeBounds(long firstOffset, long endOffset) {
		this.firstRetained = firstOffset;
		this.end = endOffset;
		boolean first = !this.boundsKnown;
		this.boundsKnown = true;
		if (first && !this.following) {
			restartAt(firstOffset);
			return List.of();
		}
		if (firstOffset > this.nextOffset || endOffset < this.nextOffset) {
			String detail = "expected offset " + this.nextOffset + ", stream holds " + firstOffset + " to " + endOffset;
			restartAt(firstOffset);
			return List.of(new ConfigEvent(ConfigEvent.Type.GAP, firstOffset, detail));
		}
		return List.of();
	}

	/**
	 * Applies the next record of the stream. A record with an offset that was applied
	 * before has no effect.
	 * @param offset the offset of the record
	 * @param appendedAtMs when the log stored the record, milliseconds since the epoch
	 * @param value the record
	 * @return the events to report
	 */
	public List<ConfigEvent> apply(long offset, long appendedAtMs, JsonNode value) {
		List<ConfigEvent> events = new ArrayList<>();
		if (offset < this.nextOffset) {
			return events;
		}
		if (offset > this.nextOffset) {
			events.add(new ConfigEvent(ConfigEvent.Type.GAP, offset, "expected offset " + this.nextOffset));
			restartAt(offset);
		}
		this.nextOffset = offset + 1;
		ConfigRecord record = parse(offset, value, events);
		if (record instanceof ConfigRecord.Snapshot snapshot) {
			applySnapshot(offset, appendedAtMs, snapshot, events);
		}
		else {
			this.recordsSinceSnapshot++;
			if (this.following && record != null) {
				applyRecord(offset, record, events);
			}
			else if (!this.following) {
				buffer(offset, record);
			}
		}
		checkInvariants(offset, events);
		return events;
	}

	/**
	 * Installs a snapshot from a peer if it is valid and newer than the local state, or
	 * if there is no local state.
	 * @param snapshot the snapshot that {@link #export()} returned at the peer
	 * @return {@code true} if the snapshot was installed
	 */
	public boolean install(ConfigRecord.Snapshot snapshot) {
		Objects.requireNonNull(snapshot, "snapshot");
		long version = state().version();
		boolean newer = snapshot.state().version() > version
				|| (snapshot.state().version() == version && (!this.following || snapshot.through() > this.nextOffset));
		if (!isValid(snapshot) || (hasState() && !newer)) {
			return false;
		}
		this.buffer.clear();
		restore(snapshot);
		this.nextOffset = snapshot.through();
		return true;
	}

	/**
	 * Returns the state as a snapshot for a peer or for the stream.
	 * @return the snapshot, or empty if the ledger does not follow the stream or its
	 * version is below one that was in force before
	 */
	public Optional<ConfigRecord.Snapshot> export() {
		return (this.following && this.previousState == null)
				? Optional.of(new ConfigRecord.Snapshot(this.nextOffset, this.state)) : Optional.empty();
	}

	/**
	 * Returns the state in force.
	 * @return the state, whose version never decreases
	 */
	public ConfigState state() {
		return (this.previousState != null) ? this.previousState : this.state;
	}

	/**
	 * Returns the configuration in force.
	 * @return the parsed document of {@link #state()}
	 */
	public Configuration configuration() {
		ConfigState current = state();
		if (this.configurationVersion != current.version()) {
			this.configuration = parseDocument(current.document());
			this.configurationVersion = current.version();
		}
		return this.configuration;
	}

	/**
	 * Returns the configuration that the pending patch would put in force.
	 * @return the configuration, or empty if no patch is pending
	 */
	public Optional<Configuration> pendingConfiguration() {
		Optional<PendingPatch> pending = state().pending();
		if (pending.isEmpty()) {
			return Optional.empty();
		}
		if (!pending.get().result().equals(this.pendingResult)) {
			this.pendingResult = pending.get().result();
			this.pendingConfiguration = parseDocument(this.pendingResult);
		}
		return Optional.of(this.pendingConfiguration);
	}

	/**
	 * Returns whether the ledger has a state from the stream or a peer.
	 * @return {@code true} if {@link #state()} is the state at some offset
	 */
	public boolean hasState() {
		return this.following || this.previousState != null;
	}

	/**
	 * Returns whether the ledger follows the stream record by record.
	 * @return {@code false} at the start and while the ledger searches for a snapshot
	 */
	public boolean isFollowing() {
		return this.following;
	}

	/**
	 * Returns the offset of the next record to read.
	 * @return the offset
	 */
	public long nextOffset() {
		return this.nextOffset;
	}

	/**
	 * Returns whether a new snapshot should be appended.
	 * @param nowMs the current time in milliseconds since the epoch
	 * @param everyMs the age in milliseconds above which a snapshot is replaced if
	 * records follow it
	 * @param maxRecords the number of following records above which it is replaced
	 * @return {@code true} if the newest snapshot is missing, old, followed by many
	 * records, stale, or about to be removed by retention
	 */
	public boolean needsSnapshot(long nowMs, long everyMs, int maxRecords) {
		if (!this.following || this.previousState != null || this.nextOffset == 0) {
			return false;
		}
		if (this.snapshotStale || this.recordsSinceSnapshot > maxRecords) {
			return true;
		}
		long oldestQuarter = this.firstRetained + (this.end - this.firstRetained) / 4;
		if (this.firstRetained > 0 && this.snapshotOffset < oldestQuarter) {
			return true;
		}
		// Limits the age to ten intervals even if no record follows, because the log may
		// remove records by age.
		long ageMs = nowMs - this.snapshotAppendedAtMs;
		return ageMs > everyMs && (this.recordsSinceSnapshot > 0 || ageMs > 10 * everyMs);
	}

	private static boolean isValid(ConfigRecord.Snapshot snapshot) {
		try {
			ConfigRules.configuration(snapshot.state().document());
			return true;
		}
		catch (JsonProcessingException ex) {
			return false;
		}
	}

	private static Configuration parseDocument(JsonNode document) {
		try {
			return ConfigRules.configuration(document);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("accepted configuration document is not valid", ex);
		}
	}

	private void restartAt(long offset) {
		if (this.following && this.previousState == null) {
			this.previousState = this.state;
		}
		this.following = false;
		this.buffer.clear();
		this.state = ConfigState.INITIAL;
		this.nextOffset = offset;
		this.snapshotOffset = -1;
		this.recordsSinceSnapshot = 0;
		if (offset == 0) {
			this.following = true;
		}
	}

	private ConfigRecord parse(long offset, JsonNode value, List<ConfigEvent> events) {
		try {
			ConfigRecord record = ConfigRecord.fromJson(value);
			if (record instanceof ConfigRecord.Snapshot snapshot) {
				ConfigRules.configuration(snapshot.state().document());
			}
			return record;
		}
		catch (JsonProcessingException | IllegalArgumentException ex) {
			events.add(new ConfigEvent(ConfigEvent.Type.UNREADABLE, offset, ex.getMessage()));
			return null;
		}
	}

	private void applyRecord(long offset, ConfigRecord record, List<ConfigEvent> events) {
		ConfigRules.Transition transition = ConfigRules.apply(this.state, offset, record);
		this.state = transition.state();
		events.addAll(transition.events());
		if (this.previousState != null && this.state.version() >= this.previousState.version()) {
			this.previousState = null;
		}
	}

	private void buffer(long offset, ConfigRecord record) {
		this.buffer.addLast(new BufferedRecord(offset, record));
		if (this.buffer.size() > MAX_BUFFERED) {
			this.buffer.removeFirst();
		}
	}

	private void applySnapshot(long offset, long appendedAtMs, ConfigRecord.Snapshot snapshot,
			List<ConfigEvent> events) {
		if (!this.following) {
			buffer(offset, null);
			if (this.buffer.getFirst().offset() > snapshot.through()) {
				return;
			}
			restore(snapshot);
			for (BufferedRecord entry : this.buffer) {
				if (entry.offset() >= snapshot.through() && entry.record() != null) {
					applyRecord(entry.offset(), entry.record(), events);
				}
			}
			this.buffer.clear();
			events.add(new ConfigEvent(ConfigEvent.Type.SNAPSHOT_INSTALLED, offset,
					"version " + snapshot.state().version()));
		}
		long version = snapshot.state().version();
		this.snapshotStale = version < this.state.version();
		if (this.snapshotStale) {
			events.add(new ConfigEvent(ConfigEvent.Type.STALE_SNAPSHOT, offset, "version " + version));
			return;
		}
		if (version > this.state.version() || !snapshot.state().document().equals(this.state.document())) {
			events.add(new ConfigEvent(ConfigEvent.Type.DIVERGED, offset,
					"snapshot version " + version + " contradicts version " + this.state.version()));
			return;
		}
		this.snapshotOffset = offset;
		this.snapshotAppendedAtMs = appendedAtMs;
		this.recordsSinceSnapshot = 0;
	}

	private void restore(ConfigRecord.Snapshot snapshot) {
		if (this.following && this.previousState == null) {
			this.previousState = this.state;
		}
		this.state = snapshot.state();
		this.following = true;
		if (this.previousState != null && this.state.version() >= this.previousState.version()) {
			this.previousState = null;
		}
	}

	private void checkInvariants(long offset, List<ConfigEvent> events) {
		if (this.following && this.previousState != null && this.nextOffset >= this.end) {
			events.add(new ConfigEvent(ConfigEvent.Type.VERSION_BELOW_HELD, offset, "stream ends at version "
					+ this.state.version() + ", version in force is " + this.previousState.version()));
		}
	}

	/**
	 * Record that is buffered while the ledger searches for a snapshot.
	 *
	 * @param offset the offset of the record
	 * @param record the record, or {@code null} if it is a snapshot or unreadable
	 */
	private record BufferedRecord(long offset, ConfigRecord record) {
	}

}
