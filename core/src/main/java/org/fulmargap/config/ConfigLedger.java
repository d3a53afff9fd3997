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
 * Deterministic state machine over the configuration stream. It either follows the stream
 * record by record or, at the start and after a gap, looks for a snapshot from which it
 * can follow. While it looks, the last state that it held stays in force. Instances are
 * not thread safe.
 */
public final class ConfigLedger {

	/**
	 * The number of records that are kept while looking for a snapshot. A snapshot lies
	 * at most a few hundred records behind the records it leaves out.
	 */
	private static final int MAX_BUFFERED = 20_000;

	private final Deque<Buffered> buffer = new ArrayDeque<>();

	private ConfigState state = ConfigState.INITIAL;

	private ConfigState held;

	private Configuration configuration = Configuration.EMPTY;

	private long configurationVersion;

	private JsonNode pendingResult;

	private Configuration pendingConfiguration;

	private long nextOffset;

	private long firstRetained;

	private long end;

	private boolean following;

	private boolean boundsSeen;

	private boolean staleSnapshotSeen;

	private long snapshotOffset = -1;

	private long snapshotAppendedAtMs;

	private int recordsSinceSnapshot;

	/**
	 * Notes the bounds of the stream, before the records of a page are applied.
	 * @param firstOffset the first offset that is retained
	 * @param endOffset the offset that the next append gets
	 * @return what was noticed
	 */
	public List<ConfigEvent> observeBounds(long firstOffset, long endOffset) {
		this.firstRetained = firstOffset;
		this.end = endOffset;
		boolean first = !this.boundsSeen;
		this.boundsSeen = true;
		if (first && !this.following) {
			startFrom(firstOffset);
			return List.of();
		}
		if (firstOffset > this.nextOffset || endOffset < this.nextOffset) {
			String detail = "expected offset " + this.nextOffset + ", stream holds " + firstOffset + " to " + endOffset;
			startFrom(firstOffset);
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
	 * @return what happened
	 */
	public List<ConfigEvent> apply(long offset, long appendedAtMs, JsonNode value) {
		List<ConfigEvent> events = new ArrayList<>();
		if (offset < this.nextOffset) {
			return events;
		}
		if (offset > this.nextOffset) {
			events.add(new ConfigEvent(ConfigEvent.Type.GAP, offset, "expected offset " + this.nextOffset));
			startFrom(offset);
		}
		this.nextOffset = offset + 1;
		ConfigRecord record = parse(offset, value, events);
		if (record instanceof ConfigRecord.Snapshot snapshot) {
			noteSnapshot(offset, appendedAtMs, snapshot, events);
		}
		else {
			this.recordsSinceSnapshot++;
			if (this.following && record != null) {
				advance(offset, record, events);
			}
			else if (!this.following) {
				buffer(offset, record);
			}
		}
		checkInvariants(offset, events);
		return events;
	}

	/**
	 * Takes over a copy from a peer if it is newer than the own state.
	 * @param copy the copy that {@link #export()} returned at the peer
	 * @return whether the copy was newer
	 */
	public boolean install(ConfigRecord.Snapshot copy) {
		Objects.requireNonNull(copy, "copy");
		long version = state().version();
		boolean newer = copy.state().version() > version
				|| (copy.state().version() == version && (!this.following || copy.through() > this.nextOffset));
		if (!isValid(copy) || (hasState() && !newer)) {
			return false;
		}
		this.buffer.clear();
		adopt(copy);
		this.nextOffset = copy.through();
		return true;
	}

	/**
	 * Returns a copy of the state for a peer or for a snapshot record.
	 * @return the copy, or empty if the state is not known
	 */
	public Optional<ConfigRecord.Snapshot> export() {
		return (this.following && this.held == null)
				? Optional.of(new ConfigRecord.Snapshot(this.nextOffset, this.state)) : Optional.empty();
	}

	/**
	 * Returns the state in force.
	 * @return the state; never below a version that was in force before
	 */
	public ConfigState state() {
		return (this.held != null) ? this.held : this.state;
	}

	/**
	 * Returns the configuration in force.
	 * @return the parsed document of {@link #state()}
	 */
	public Configuration configuration() {
		ConfigState current = state();
		if (this.configurationVersion != current.version()) {
			this.configuration = parsed(current.document());
			this.configurationVersion = current.version();
		}
		return this.configuration;
	}

	/**
	 * Returns the configuration that the pending patch would bring.
	 * @return the configuration, or empty if no patch is pending
	 */
	public Optional<Configuration> pendingConfiguration() {
		Optional<PendingPatch> pending = state().pending();
		if (pending.isEmpty()) {
			return Optional.empty();
		}
		if (!pending.get().result().equals(this.pendingResult)) {
			this.pendingResult = pending.get().result();
			this.pendingConfiguration = parsed(this.pendingResult);
		}
		return Optional.of(this.pendingConfiguration);
	}

	/**
	 * Tells whether a state has been established from the stream or a peer.
	 * @return {@code true} if {@link #state()} is the state of some offset
	 */
	public boolean hasState() {
		return this.following || this.held != null;
	}

	/**
	 * Tells whether the ledger follows the stream record by record.
	 * @return {@code false} before the first snapshot is found and after a gap
	 */
	public boolean isFollowing() {
		return this.following;
	}

	/**
	 * Returns the offset of the next record to read.
	 * @return an offset
	 */
	public long nextOffset() {
		return this.nextOffset;
	}

	/**
	 * Tells whether a new snapshot should be appended.
	 * @param nowMs the present time in milliseconds since the epoch
	 * @param everyMs the age above which a snapshot is replaced if records follow it
	 * @param maxRecords the number of following records above which it is replaced
	 * @return {@code true} if the newest snapshot is missing, old, followed by many
	 * records, stale, or close to falling out of retention
	 */
	public boolean needsSnapshot(long nowMs, long everyMs, int maxRecords) {
		if (!this.following || this.held != null || this.nextOffset == 0) {
			return false;
		}
		if (this.staleSnapshotSeen || this.recordsSinceSnapshot > maxRecords) {
			return true;
		}
		long oldestQuarter = this.firstRetained + (this.end - this.firstRetained) / 4;
		if (this.firstRetained > 0 && this.snapshotOffset < oldestQuarter) {
			return true;
		}
		// Ten times the interval bounds the age also when no record follows, because the
		// log may drop records by age.
		long ageMs = nowMs - this.snapshotAppendedAtMs;
		return ageMs > everyMs && (this.recordsSinceSnapshot > 0 || ageMs > 10 * everyMs);
	}

	private static boolean isValid(ConfigRecord.Snapshot copy) {
		try {
			ConfigRules.configuration(copy.state().document());
			return true;
		}
		catch (JsonProcessingException ex) {
			return false;
		}
	}

	private static Configuration parsed(JsonNode document) {
		try {
			return ConfigRules.configuration(document);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("a document that was accepted is not valid", ex);
		}
	}

	private void startFrom(long offset) {
		if (this.following && this.held == null) {
			this.held = this.state;
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

	private void advance(long offset, ConfigRecord record, List<ConfigEvent> events) {
		ConfigRules.Step step = ConfigRules.apply(this.state, offset, record);
		this.state = step.state();
		events.addAll(step.events());
		if (this.held != null && this.state.version() >= this.held.version()) {
			this.held = null;
		}
	}

	private void buffer(long offset, ConfigRecord record) {
		this.buffer.addLast(new Buffered(offset, record));
		if (this.buffer.size() > MAX_BUFFERED) {
			this.buffer.removeFirst();
		}
	}

	private void noteSnapshot(long offset, long appendedAtMs, ConfigRecord.Snapshot snapshot,
			List<ConfigEvent> events) {
		if (!this.following) {
			buffer(offset, null);
			if (this.buffer.getFirst().offset() > snapshot.through()) {
				return;
			}
			adopt(snapshot);
			for (Buffered entry : this.buffer) {
				if (entry.offset() >= snapshot.through() && entry.record() != null) {
					advance(entry.offset(), entry.record(), events);
				}
			}
			this.buffer.clear();
			events.add(new ConfigEvent(ConfigEvent.Type.SNAPSHOT_INSTALLED, offset,
					"version " + snapshot.state().version()));
		}
		long version = snapshot.state().version();
		this.staleSnapshotSeen = version < this.state.version();
		if (this.staleSnapshotSeen) {
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

	private void adopt(ConfigRecord.Snapshot snapshot) {
		if (this.following && this.held == null) {
			this.held = this.state;
		}
		this.state = snapshot.state();
		this.following = true;
		if (this.held != null && this.state.version() >= this.held.version()) {
			this.held = null;
		}
	}

	private void checkInvariants(long offset, List<ConfigEvent> events) {
		if (this.following && this.held != null && this.nextOffset >= this.end) {
			events.add(new ConfigEvent(ConfigEvent.Type.VERSION_BELOW_HELD, offset,
					"stream ends at version " + this.state.version() + ", held is " + this.held.version()));
		}
	}

	/**
	 * A record read while the ledger looks for a snapshot.
	 *
	 * @param offset the offset of the record
	 * @param record the record, or {@code null} if it is a snapshot or unreadable
	 */
	private record Buffered(long offset, ConfigRecord record) {
	}

}
