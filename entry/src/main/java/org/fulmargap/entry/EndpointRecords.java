package org.fulmargap.entry;

import java.util.Locale;
import java.util.Set;

import org.fulmargap.placement.EndpointDirectory;
import org.fulmargap.placement.EndpointRecord;
import org.fulmargap.platform.EndpointRecordDecoder;
import org.fulmargap.platform.KeyedRecord;
import org.fulmargap.platform.MalformedRecordException;
import org.fulmargap.platform.StorePage;

/**
 * Applies the records of endpoints to the view, and decides what counts while the store
 * is away, after it came back from an older copy, and when it executed a write late.
 * Confined to the event loop.
 */
final class EndpointRecords {

	/**
	 * Records that are removed within this time after the start or end of an outage of
	 * the store may have expired because of it, in milliseconds.
	 */
	private static final long OUTAGE_EXPIRY_MS = 2_500;

	/**
	 * How long endpoints are used on that are missing after the store came back from an
	 * older copy, in milliseconds: they write their records again with their next
	 * heartbeat.
	 */
	private static final long MISSING_MS = 2_500;

	/**
	 * How long records of the copy don't replace what is known to be newer, in
	 * milliseconds: until the store has removed endpoints that send no heartbeats.
	 */
	private static final long COPY_OUTDATED_MS = 6_000;

	/** The length of the longest version that is logged whole, in characters. */
	private static final int MAX_LOGGED_LENGTH = 100;

	private final StoreView view;

	private final TopicView topic;

	private final RestoredTopic restored = new RestoredTopic(MISSING_MS, COPY_OUTDATED_MS);

	private final OutdatedRecords outdated = new OutdatedRecords();

	private long outageAtMs = Long.MIN_VALUE / 2;

	/**
	 * Creates an instance that knows no records.
	 * @param view the view to which records are applied
	 * @param topic the newest records
	 */
	EndpointRecords(StoreView view, TopicView topic) {
		this.view = view;
		this.topic = topic;
	}

	/**
	 * Records the start or the end of an outage of the store.
	 * @param nowMs the current time in milliseconds
	 */
	void storeAway(long nowMs) {
		this.outageAtMs = nowMs;
		this.outdated.storeAway(nowMs);
	}

	/**
	 * Records that the store has come back from an older copy.
	 * @param returnedAtMs when this VM learned of it, in milliseconds
	 */
	void restored(long returnedAtMs) {
		this.restored.restored(returnedAtMs);
	}

	/**
	 * Applies records that were not known.
	 * @param page the records
	 * @param nowMs the current time in milliseconds
	 */
	void apply(StorePage page, long nowMs) {
		boolean mayHaveExpired = nowMs - this.outageAtMs < OUTAGE_EXPIRY_MS;
		long graceMs = (mayHaveExpired) ? EndpointDirectory.LAPSE_GRACE_MS : 0;
		// The last record of an endpoint need not be the one that counts.
		for (KeyedRecord record : page.records()) {
			if (record.isRemoval()) {
				remove(record, graceMs, nowMs);
			}
			else if (update(record, this.view::put, nowMs)) {
				this.outdated.replaced(record.key());
			}
			else {
				skip(record, page.isComplete(), nowMs);
			}
		}
		this.view.endpointsListed();
		this.view.directory().purge(nowMs);
	}

	/**
	 * Drops what a store that came back from an older copy still lacks, and uses
	 * endpoints that the store goes on to list.
	 * @param nowMs the current time in milliseconds
	 */
	void update(long nowMs) {
		if (this.restored.dropsMissing(nowMs)) {
			this.topic.dropUnconfirmed().forEach((removal) -> remove(removal, 0, nowMs));
		}
		Set<String> due = this.outdated.takeDue(nowMs);
		if (!due.isEmpty()) {
			this.topic.listing()
				.records()
				.stream()
				.filter((record) -> due.contains(record.key()))
				.forEach((record) -> update(record, this.view::putListed, nowMs));
		}
	}

	private void remove(KeyedRecord record, long graceMs, long nowMs) {
		this.outdated.replaced(record.key());
		if (this.view.directory().remove(record.key(), graceMs, nowMs)) {
			EventLog.state("endpoint_gone")
				.with("endpoint", record.key())
				.with("offset", record.offset())
				.with("grace_ms", graceMs)
				.write();
		}
	}

	// Returns false if the record is outdated.
	private boolean update(KeyedRecord record, Update update, long nowMs) {
		try {
			EndpointRecord endpoint = EndpointRecordDecoder.decode(record.key(), record.value());
			EndpointDirectory.Change change = update.apply(endpoint, nowMs);
			if (change.affectsWork()) {
				log(endpoint, change, record.offset());
			}
			return change != EndpointDirectory.Change.OUTDATED;
		}
		catch (MalformedRecordException ex) {
			EventLog.state("endpoint_record_refused")
				.with("endpoint", record.key())
				.with("offset", record.offset())
				.with("cause", ex.getMessage())
				.write();
			this.topic.dropValue(record);
			this.view.directory().remove(record.key(), 0, nowMs);
			return true;
		}
	}

	private static void log(EndpointRecord endpoint, EndpointDirectory.Change change, long offset) {
		EventLog.state("endpoint_" + change.name().toLowerCase(Locale.ROOT))
			.with("endpoint", endpoint.id())
			.with("service", endpoint.service())
			.with("domain", endpoint.failureDomain())
			.with("software_version", EventLog.cut(endpoint.softwareVersion(), MAX_LOGGED_LENGTH))
			.with("cold_ms", endpoint.coldForMs())
			.with("offset", offset)
			.write();
	}

	private void skip(KeyedRecord record, boolean isListing, long nowMs) {
		boolean ofCopy = isListing && nowMs < this.restored.outdatedUntilMs();
		if (ofCopy) {
			this.outdated.listedByCopy(record.key(), this.restored.outdatedUntilMs());
		}
		else {
			this.outdated.listed(record.key(), nowMs);
		}
		EventLog.state("endpoint_record_outdated")
			.with("endpoint", record.key())
			.with("offset", record.offset())
			.with("of_copy", ofCopy)
			.write();
	}

	/**
	 * A way to apply the record of an endpoint.
	 */
	@FunctionalInterface
	private interface Update {

		EndpointDirectory.Change apply(EndpointRecord record, long nowMs);

	}

}
