package org.fulmargap.entry;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoop;
import org.fulmargap.entry.peer.PeerMessage;
import org.fulmargap.entry.peer.PeerNetwork;
import org.fulmargap.entry.rollout.Rollouts;
import org.fulmargap.fleet.FleetMember;
import org.fulmargap.fleet.RecordLag;
import org.fulmargap.fleet.StorePosition;
import org.fulmargap.platform.KeyedRecord;
import org.fulmargap.platform.NodeSettings;
import org.fulmargap.platform.OperatorPage;
import org.fulmargap.platform.OperatorRecord;
import org.fulmargap.platform.RolloutRecords;
import org.fulmargap.platform.StoreClient;
import org.fulmargap.platform.StoreException;
import org.fulmargap.platform.StorePage;
import org.fulmargap.platform.StoreTopic;

/**
 * Keeps the view of the platform's store up to date, from the store and from records that
 * peers relay, and writes the address of this VM to the store.
 */
final class StoreWatch implements AutoCloseable {

	/**
	 * The longest time for which the store holds a read open, in milliseconds.
	 */
	private static final long MAX_WAIT_MS = 3_000;

	/**
	 * How long the store holds a read of the members open, in milliseconds. No bound of
	 * the platform depends on it: new VMs also make themselves known to the hubs.
	 */
	private static final long MEMBERS_WAIT_MS = 10_000;

	/**
	 * How long the store holds a read of the refused prompt parts open, in milliseconds.
	 * No bound of the platform depends on it: VMs also tell each other.
	 */
	private static final long QUARANTINE_WAIT_MS = 30_000;

	private static final long OPERATOR_INTERVAL_MS = 200;

	private static final long ENDPOINTS_INTERVAL_MS = 600;

	private static final long MEMBERS_INTERVAL_MS = 1_000;

	/**
	 * How long this VM is behind a peer before it requests records, in milliseconds,
	 * while it reads the store itself.
	 */
	private static final long BEHIND_MS = 900;

	/** The longest delay before a hub repeats a failed read, in milliseconds. */
	private static final long HUB_RETRY_DELAY_MS = 800;

	/**
	 * The longest delay before another VM repeats a failed read, in milliseconds. There
	 * are many of them, and the hubs of all get the records of one that succeeds.
	 */
	private static final long MEMBER_RETRY_DELAY_MS = 3_000;

	/**
	 * How long evacuations are kept that are missing after the store came back from an
	 * older copy, in milliseconds.
	 */
	private static final long EVACUATION_MISSING_MS = 6_000;

	private final StoreClient store;

	private final EventLoop loop;

	private final LongSupplier clockMs;

	private final StoreView view;

	private final PeerNetwork peers;

	private final QuarantineSync quarantine;

	private final Rollouts rollouts;

	private final Map<StoreTopic, TopicView> topics = new EnumMap<>(StoreTopic.class);

	private final Map<StoreTopic, RecordLag> lags = new EnumMap<>(StoreTopic.class);

	private final Map<StoreTopic, AtomicReference<StorePosition>> positions = new EnumMap<>(StoreTopic.class);

	private final RestoredTopic restoredOperator = new RestoredTopic(EVACUATION_MISSING_MS, 0);

	private final EndpointRecords endpoints;

	private final Map<StoreTopic, StoreTail> tails = new EnumMap<>(StoreTopic.class);

	private final List<Thread> threads = new ArrayList<>();

	private final MemberRegistration registration;

	private final RecordSource source;

	private long newestHistory;

	private long newestHistoryAtMs;

	StoreWatch(StoreClient store, EventLoop loop, LongSupplier clockMs, StoreView view, PeerNetwork peers,
			QuarantineSync quarantine, Rollouts rollouts, NodeSettings settings, FleetMember own) {
		this.store = store;
		this.loop = loop;
		this.clockMs = clockMs;
		this.view = view;
		this.peers = peers;
		this.quarantine = quarantine;
		this.rollouts = rollouts;
		this.registration = new MemberRegistration(store, own);
		this.source = new RecordSource(clockMs.getAsLong());
		for (StoreTopic topic : StoreTopic.FOLLOWED) {
			this.topics.put(topic, new TopicView());
			this.lags.put(topic, new RecordLag());
			this.positions.put(topic, new AtomicReference<>(StorePosition.UNREAD));
		}
		this.endpoints = new EndpointRecords(view, this.topics.get(StoreTopic.ENDPOINTS));
		Runnable outageListener = () -> this.endpoints.storeAway(this.clockMs.getAsLong());
		addTail(StoreTopic.OPERATOR,
				LongPollWait.within(settings.contactMs(), settings.configApplyMs(), OPERATOR_INTERVAL_MS, MAX_WAIT_MS),
				OPERATOR_INTERVAL_MS, outageListener);
		addTail(StoreTopic.ENDPOINTS,
				LongPollWait.within(settings.contactMs(), settings.drainMs(), ENDPOINTS_INTERVAL_MS, MAX_WAIT_MS),
				ENDPOINTS_INTERVAL_MS, outageListener);
		addTail(StoreTopic.MEMBERS, LongPollWait.unbounded(MEMBERS_WAIT_MS), MEMBERS_INTERVAL_MS, () -> {
		});
		addTail(StoreTopic.QUARANTINE, LongPollWait.unbounded(QUARANTINE_WAIT_MS), MEMBERS_INTERVAL_MS, () -> {
		});
	}

	void start() {
		run("tail-operator", this.tails.get(StoreTopic.OPERATOR));
		run("tail-endpoints", this.tails.get(StoreTopic.ENDPOINTS));
		run("tail-quarantine", this.tails.get(StoreTopic.QUARANTINE));
		run("register", this.registration);
		run("tail-members", this::readMembers);
	}

	private void addTail(StoreTopic topic, LongPollWait wait, long minIntervalMs, Runnable outageListener) {
		this.tails.put(topic,
				new StoreTail(this.store, topic, wait, minIntervalMs, this.clockMs,
						(page, origin) -> this.loop.execute(() -> apply(topic, page, origin)),
						() -> this.loop.execute(outageListener), new TailNeed(topic)));
	}

	/**
	 * Decides whether this VM reads the store by itself, drops what it used on after the
	 * store came back from an older copy, and uses endpoints that the store goes on to
	 * list. Called with each heartbeat.
	 * @param nowMs the current time in milliseconds
	 */
	void update(long nowMs) {
		dropEarlierHistory(nowMs);
		this.endpoints.update(nowMs);
		this.source.update(this.peers.isHub(), this.peers.relayingHub(), nowMs);
		if (this.source.isStore()) {
			this.tails.values().forEach(StoreTail::needChanged);
		}
	}

	/**
	 * Returns whether this VM reads the store itself, without failures.
	 * @return {@code true} if the last reads of configuration and endpoints succeeded
	 */
	boolean isStoreReached() {
		return this.source.isHub() && this.tails.get(StoreTopic.OPERATOR).isReached()
				&& this.tails.get(StoreTopic.ENDPOINTS).isReached();
	}

	/**
	 * Reads the records of endpoints up to now, beside the reads at intervals. Blocks the
	 * calling thread; the event loop applies the records before what that thread gives it
	 * next.
	 * @throws StoreException if they could not be read
	 */
	void readEndpoints() throws StoreException {
		StorePosition position = this.positions.get(StoreTopic.ENDPOINTS).get();
		StorePage page;
		do {
			long startedAtMs = this.clockMs.getAsLong();
			page = readEndpoints(position);
			position = page.position();
			if (page.isComplete() || !page.records().isEmpty()) {
				StorePage news = page;
				PageOrigin origin = new PageOrigin(PageOrigin.STORE, page.records().size(),
						this.clockMs.getAsLong() - startedAtMs, -1, this.clockMs.getAsLong());
				this.loop.execute(() -> apply(StoreTopic.ENDPOINTS, news, origin));
			}
		}
		while (page.hasNext());
	}

	private StorePage readEndpoints(StorePosition from) throws StoreException {
		if (from.isRead()) {
			try {
				StorePage page = this.store.read(StoreTopic.ENDPOINTS, from.offset(), 0);
				if (page.history() == from.history()) {
					return page;
				}
			}
			catch (StoreException ex) {
				if (ex.type() != StoreException.Type.EXPIRED) {
					throw ex;
				}
			}
		}
		return this.store.newest(StoreTopic.ENDPOINTS);
	}

	private void run(String name, Runnable task) {
		Thread thread = new Thread(task, name);
		thread.setDaemon(true);
		this.threads.add(thread);
		thread.start();
	}

	// The address of this VM is written before those of the others are read, so that of
	// two VMs that start together at least one finds the other.
	private void readMembers() {
		try {
			this.registration.awaitFirst();
			this.tails.get(StoreTopic.MEMBERS).run();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void apply(StoreTopic topic, StorePage page, PageOrigin origin) {
		TopicView known = this.topics.get(topic);
		if (!known.accepts(page)) {
			EventLog.state("store_page_refused")
				.with("topic", topic)
				.with("history", page.history())
				.with("known_history", known.position().history())
				.with("source", origin.source())
				.write();
			return;
		}
		StorePosition previous = known.position();
		StorePage fresh = known.apply(page);
		StorePosition position = known.position();
		this.positions.get(topic).set(position);
		this.lags.get(topic).advanced(position);
		historyKnown(position.history());
		if (previous.isRead() && position.history() > previous.history()) {
			restored(topic, previous, origin);
			this.peers.sendToMembers(new PeerMessage.Records(topic, 0, known.listing()));
		}
		else if (previous.isRead() && position.offset() > previous.offset()) {
			StorePage news = new StorePage(position.history(), fresh.records(), position.offset(), false);
			this.peers.sendToMembers(new PeerMessage.Records(topic, previous.offset(), news));
		}
		switch (topic) {
			case OPERATOR -> applyOperatorPage(fresh, origin);
			case ENDPOINTS -> this.endpoints.apply(fresh, this.clockMs.getAsLong());
			case MEMBERS -> applyMemberPage(fresh);
			case QUARANTINE -> this.quarantine.apply(fresh.records());
			case STATUS, VERSIONS, STREAMS, ROLLOUTS -> throw new IllegalStateException("not followed: " + topic);
		}
	}

	private void historyKnown(long history) {
		this.registration.historyKnown(history);
		if (history > this.newestHistory) {
			this.newestHistory = history;
			this.newestHistoryAtMs = this.clockMs.getAsLong();
		}
	}

	// What the system itself wrote is gone for good, so members stay known, and what the
	// store lacks of the quarantine is written again.
	private void restored(StoreTopic topic, StorePosition previous, PageOrigin origin) {
		TopicView known = this.topics.get(topic);
		EventLog.state("store_restored")
			.with("topic", topic)
			.with("history", known.position().history())
			.with("previous_history", previous.history())
			.with("offset", known.position().offset())
			.with("previous_offset", previous.offset())
			.with("missing", known.unconfirmed().size())
			.with("source", origin.source())
			.write();
		// The records of this topic may arrive later than the first answer of the store.
		switch (topic) {
			case OPERATOR -> {
				this.restoredOperator.restored(this.newestHistoryAtMs);
				this.rollouts.storeRestored();
			}
			case ENDPOINTS -> this.endpoints.restored(this.newestHistoryAtMs);
			case QUARANTINE -> this.quarantine.restored(known.position().history());
			case MEMBERS, STATUS, VERSIONS, STREAMS, ROLLOUTS -> {
			}
		}
	}

	// Drops what was kept of the earlier history of the store and was not written again.
	private void dropEarlierHistory(long nowMs) {
		if (this.restoredOperator.dropsMissing(nowMs)) {
			List<KeyedRecord> removals = this.topics.get(StoreTopic.OPERATOR).dropUnconfirmed();
			applyOperatorPage(pageOf(StoreTopic.OPERATOR, removals),
					PageOrigin.relayed("none", removals.size(), nowMs));
		}
	}

	private StorePage pageOf(StoreTopic topic, List<KeyedRecord> records) {
		StorePosition position = this.topics.get(topic).position();
		return new StorePage(position.history(), records, position.offset(), false);
	}

	/**
	 * Returns up to where each topic is known.
	 * @return the positions in the order of the topics
	 */
	List<StorePosition> positions() {
		List<StorePosition> known = new ArrayList<>();
		for (StoreTopic topic : StoreTopic.FOLLOWED) {
			known.add(this.topics.get(topic).position());
		}
		return known;
	}

	/**
	 * Compares the positions of this VM with those of a peer, and requests records from
	 * the peer if this VM is behind: the store may refuse its calls, its connection to
	 * the store may have stopped delivering, or the hub's message was lost.
	 * @param peer the name of the peer
	 * @param peerPositions up to where the peer knows each topic, in the order of the
	 * topics
	 * @param nowMs the current time in milliseconds
	 */
	void comparePositions(String peer, List<StorePosition> peerPositions, long nowMs) {
		this.source.peerCompared(peer, isInEarlierHistory(peerPositions));
		long patienceMs = (isStoreReached()) ? BEHIND_MS : 0;
		for (StoreTopic topic : StoreTopic.FOLLOWED) {
			if (topic.ordinal() < peerPositions.size()) {
				StorePosition own = this.topics.get(topic).position();
				StorePosition theirs = peerPositions.get(topic.ordinal());
				if (this.lags.get(topic).shouldRequest(theirs, patienceMs, nowMs)) {
					request(peer, topic, (theirs.history() > own.history()) ? StorePosition.UNREAD : own);
				}
			}
		}
	}

	// Whether a peer has not noticed that the store came back from an older copy.
	private boolean isInEarlierHistory(List<StorePosition> peerPositions) {
		StorePosition theirs = peerPositions.isEmpty() ? StorePosition.UNREAD
				: peerPositions.get(StoreTopic.OPERATOR.ordinal());
		return theirs.history() < this.topics.get(StoreTopic.OPERATOR).position().history();
	}

	private void request(String peer, StoreTopic topic, StorePosition from) {
		EventLog.state("records_wanted").with("topic", topic).with("peer", peer).with("offset", from.offset()).write();
		this.peers.send(peer, new PeerMessage.RecordsRequest(topic, from.offset()));
	}

	/**
	 * Sends the requested records to a peer, unless this VM has not read the topic.
	 * @param peer the name of the peer
	 * @param request the topic and the first offset
	 */
	void sendRecords(String peer, PeerMessage.RecordsRequest request) {
		if (!this.topics.containsKey(request.topic())) {
			return;
		}
		StorePage page = this.topics.get(request.topic()).since(request.from());
		if (page.position().isRead()) {
			this.peers.send(peer, new PeerMessage.Records(request.topic(), request.from(), page));
		}
	}

	/**
	 * Applies records that a peer relayed, unless records before them are missing.
	 * @param peer the name of the peer
	 * @param records the records
	 * @param nowMs the current time in milliseconds
	 */
	void received(String peer, PeerMessage.Records records, long nowMs) {
		if (!this.topics.containsKey(records.topic())) {
			return;
		}
		StorePage page = records.page();
		StorePosition own = this.topics.get(records.topic()).position();
		StorePosition from = new StorePosition(page.history(), records.from());
		boolean lacksRecords = !page.isComplete() && from.compareTo(own) > 0;
		if (lacksRecords) {
			request(peer, records.topic(), (from.history() > own.history()) ? StorePosition.UNREAD : own);
			return;
		}
		apply(records.topic(), page, PageOrigin.relayed(peer, page.records().size(), nowMs));
	}

	private void applyOperatorPage(StorePage page, PageOrigin origin) {
		long nowMs = this.clockMs.getAsLong();
		OperatorPage newest = OperatorPage.decode(page);
		for (OperatorPage.Refused refused : newest.refused()) {
			EventLog.state("operator_record_refused")
				.with("key", refused.record().key())
				.with("offset", refused.record().offset())
				.with("cause", refused.cause().getMessage())
				.write();
		}
		newest.records().forEach((record) -> apply(record.content(), record.offset(), origin, nowMs));
		newest.refused()
			.stream()
			.map((refused) -> refused.record().key())
			.filter((key) -> key.startsWith(RolloutRecords.KEY_PREFIX))
			.distinct()
			.forEach((key) -> this.rollouts.refused(key.substring(RolloutRecords.KEY_PREFIX.length()), nowMs));
	}

	private void apply(OperatorRecord record, long offset, PageOrigin origin, long nowMs) {
		if (record instanceof OperatorRecord.Configuration configuration) {
			boolean inForce = this.view.replace(configuration.catalog(), nowMs);
			EventLog.state("config_read")
				.with("version", configuration.catalog().version())
				.with("offset", offset)
				.with("in_force", inForce)
				.with("source", origin.source())
				.with("records", origin.records())
				.with("read_ms", origin.readMs())
				.with("previous_read_age_ms", origin.previousReadAgeMs())
				.with("queued_ms", origin.queuedMs(nowMs))
				.write();
		}
		else if (record instanceof OperatorRecord.Evacuation evacuation) {
			this.view.evacuate(evacuation.failureDomain(), evacuation.out());
			EventLog.state((evacuation.out()) ? "domain_out" : "domain_in")
				.with("domain", evacuation.failureDomain())
				.with("offset", offset)
				.write();
		}
		else if (record instanceof OperatorRecord.Rollout rollout) {
			this.rollouts.ordered(rollout.service(), rollout.order(), nowMs);
		}
	}

	private void applyMemberPage(StorePage page) {
		for (KeyedRecord record : page.records()) {
			if (record.isRemoval()) {
				this.peers.removePeer(record.key());
			}
			else {
				updateMember(record);
			}
		}
	}

	private void updateMember(KeyedRecord record) {
		try {
			this.peers.updatePeer(FleetMember.parse(record.key(), new String(record.value(), StandardCharsets.UTF_8)));
		}
		catch (IllegalArgumentException ex) {
			EventLog.state("member_record_refused")
				.with("key", record.key())
				.with("offset", record.offset())
				.with("cause", ex.getMessage())
				.write();
			this.topics.get(StoreTopic.MEMBERS).dropValue(record);
		}
	}

	@Override
	public void close() {
		this.threads.forEach(Thread::interrupt);
	}

	/**
	 * Hubs read the store. Other VMs read it only at their start and while no hub relays
	 * its records.
	 */
	private final class TailNeed implements StoreTail.Need {

		private final StoreTopic topic;

		private TailNeed(StoreTopic topic) {
			this.topic = topic;
		}

		@Override
		public boolean isNeeded() {
			return StoreWatch.this.source.isStore() || !position().isRead();
		}

		@Override
		public StorePosition position() {
			return StoreWatch.this.positions.get(this.topic).get();
		}

		@Override
		public long maxRetryDelayMs() {
			return (StoreWatch.this.source.isHub()) ? HUB_RETRY_DELAY_MS : MEMBER_RETRY_DELAY_MS;
		}

	}

}
