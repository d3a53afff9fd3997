package org.fulmargap.entry;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoop;
import org.fulmargap.entry.peer.PeerMessage;
import org.fulmargap.entry.peer.PeerNetwork;
import org.fulmargap.placement.EndpointDirectory;
import org.fulmargap.placement.EndpointRecord;
import org.fulmargap.platform.EndpointRecordDecoder;
import org.fulmargap.platform.KeyedRecord;
import org.fulmargap.platform.MalformedRecordException;
import org.fulmargap.platform.OperatorRecord;
import org.fulmargap.platform.StoreClient;
import org.fulmargap.platform.StoreException;
import org.fulmargap.platform.StorePage;
import org.fulmargap.platform.StoreTopic;

/**
 * Keeps the view of the platform's store up to date.
 */
final class StoreWatch implements AutoCloseable {

	private static final long OPERATOR_INTERVAL_MS = 200;

	private static final long ENDPOINTS_INTERVAL_MS = 600;

	private static final long MEMBERS_INTERVAL_MS = 1_000;

	/** Records that vanish this soon after an outage may have lapsed by it, in ms. */
	private static final long LAPSE_SUSPICION_MS = 2_500;

	/** A VM that is behind a peer for this time asks it, in milliseconds. */
	private static final long BEHIND_MS = 900;

	/** How long to wait before the own address is written again, in milliseconds. */
	private static final long REGISTER_PAUSE_MS = 500;

	private final StoreClient store;

	private final EventLoop loop;

	private final LongSupplier clockMs;

	private final StoreView view;

	private final PeerNetwork peers;

	private final Map<StoreTopic, TopicView> topics = new EnumMap<>(StoreTopic.class);

	private final Map<StoreTopic, Long> behindSinceMs = new EnumMap<>(StoreTopic.class);

	private final List<Thread> threads = new ArrayList<>();

	private long storeTroubledAtMs = Long.MIN_VALUE / 2;

	StoreWatch(StoreClient store, EventLoop loop, LongSupplier clockMs, StoreView view, PeerNetwork peers) {
		this.store = store;
		this.loop = loop;
		this.clockMs = clockMs;
		this.view = view;
		this.peers = peers;
		for (StoreTopic topic : StoreTopic.values()) {
			this.topics.put(topic, new TopicView());
		}
	}

	void start(String vm, String peerAddress) {
		follow(StoreTopic.OPERATOR, OPERATOR_INTERVAL_MS);
		follow(StoreTopic.ENDPOINTS, ENDPOINTS_INTERVAL_MS);
		run("register", () -> register(vm, peerAddress));
	}

	private void follow(StoreTopic topic, long minIntervalMs) {
		StoreTail tail = new StoreTail(this.store, topic, minIntervalMs, this.clockMs,
				(page) -> this.loop.execute(() -> apply(topic, page)),
				() -> this.loop.execute(() -> this.storeTroubledAtMs = this.clockMs.getAsLong()));
		run("tail-" + topic, tail);
	}

	private void run(String name, Runnable task) {
		Thread thread = new Thread(task, name);
		thread.setDaemon(true);
		this.threads.add(thread);
		thread.start();
	}

	// The own address is in the store before the addresses of the others are read, so
	// that
	// of two VMs that start together at least one finds the other.
	private void register(String vm, String peerAddress) {
		try {
			while (!put(vm, peerAddress)) {
				Thread.sleep(REGISTER_PAUSE_MS);
			}
			new StoreTail(this.store, StoreTopic.MEMBERS, MEMBERS_INTERVAL_MS, this.clockMs,
					(page) -> this.loop.execute(() -> apply(StoreTopic.MEMBERS, page)), () -> {
					})
				.run();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private boolean put(String vm, String peerAddress) {
		try {
			this.store.put(StoreTopic.MEMBERS, vm, peerAddress.getBytes(StandardCharsets.UTF_8));
			EventLog.state("registered").with("vm", vm).with("address", peerAddress).write();
			return true;
		}
		catch (StoreException ex) {
			EventLog.state("register_failed").with("type", ex.type()).with("cause", ex.getMessage()).write();
			return false;
		}
	}

	private void apply(StoreTopic topic, StorePage page) {
		StorePage fresh = this.topics.get(topic).apply(page);
		switch (topic) {
			case OPERATOR -> operatorPage(fresh);
			case ENDPOINTS -> endpointPage(fresh);
			case MEMBERS -> memberPage(fresh);
		}
	}

	/**
	 * Returns how far each topic is known.
	 * @return the offsets in the order of the topics
	 */
	List<Long> nextOffsets() {
		List<Long> offsets = new ArrayList<>();
		for (StoreTopic topic : StoreTopic.values()) {
			offsets.add(this.topics.get(topic).nextOffset());
		}
		return offsets;
	}

	/**
	 * Compares what is known with what a peer knows, and asks it for records that this VM
	 * has not got for a while: the store may turn this VM away, or its connection may be
	 * silent.
	 * @param peer the name of the peer
	 * @param offsets how far the peer knows the topics
	 * @param nowMs the present time in milliseconds
	 */
	void peerKnows(String peer, List<Long> offsets, long nowMs) {
		for (StoreTopic topic : StoreTopic.values()) {
			boolean behind = topic.ordinal() < offsets.size()
					&& offsets.get(topic.ordinal()) > this.topics.get(topic).nextOffset();
			if (!behind) {
				this.behindSinceMs.remove(topic);
				continue;
			}
			Long sinceMs = this.behindSinceMs.putIfAbsent(topic, nowMs);
			if (sinceMs != null && nowMs - sinceMs > BEHIND_MS) {
				this.behindSinceMs.put(topic, nowMs);
				long from = this.topics.get(topic).nextOffset();
				EventLog.state("records_wanted").with("topic", topic).with("peer", peer).with("offset", from).write();
				this.peers.send(peer, new PeerMessage.RecordsRequest(topic, from));
			}
		}
	}

	/**
	 * Answers a peer that can't read the store.
	 * @param peer the name of the peer
	 * @param request what it asks for
	 */
	void sendRecords(String peer, PeerMessage.RecordsRequest request) {
		StorePage page = this.topics.get(request.topic()).since(request.from());
		if (page.nextOffset() >= 0) {
			this.peers.send(peer, new PeerMessage.RecordsReply(request.topic(), page));
		}
	}

	/**
	 * Takes over records from a peer.
	 * @param records the records
	 */
	void received(PeerMessage.RecordsReply records) {
		this.behindSinceMs.remove(records.topic());
		apply(records.topic(), records.page());
	}

	private void operatorPage(StorePage page) {
		for (KeyedRecord record : page.records()) {
			try {
				apply(OperatorRecord.decode(record), record.offset());
			}
			catch (MalformedRecordException ex) {
				EventLog.state("operator_record_refused")
					.with("key", record.key())
					.with("offset", record.offset())
					.with("cause", ex.getMessage())
					.write();
			}
		}
	}

	private void apply(OperatorRecord record, long offset) {
		if (record instanceof OperatorRecord.Configuration configuration) {
			boolean inForce = this.view.replace(configuration.catalog());
			EventLog.state("config_read")
				.with("version", configuration.catalog().version())
				.with("offset", offset)
				.with("in_force", inForce)
				.write();
		}
		else if (record instanceof OperatorRecord.Evacuation evacuation) {
			this.view.evacuate(evacuation.failureDomain(), evacuation.out());
			EventLog.state((evacuation.out()) ? "domain_out" : "domain_in")
				.with("domain", evacuation.failureDomain())
				.with("offset", offset)
				.write();
		}
	}

	private void endpointPage(StorePage page) {
		long nowMs = this.clockMs.getAsLong();
		boolean mayHaveLapsed = nowMs - this.storeTroubledAtMs < LAPSE_SUSPICION_MS;
		long graceMs = (mayHaveLapsed) ? EndpointDirectory.LAPSE_GRACE_MS : 0;
		Map<String, KeyedRecord> newest = new HashMap<>();
		page.records().forEach((record) -> newest.put(record.key(), record));
		for (KeyedRecord record : newest.values()) {
			if (record.isRemoval()) {
				removed(record, graceMs, nowMs);
			}
			else {
				updated(record, nowMs);
			}
		}
		this.view.endpointsListed();
		this.view.directory().purge(nowMs);
	}

	private void removed(KeyedRecord record, long graceMs, long nowMs) {
		if (this.view.directory().remove(record.key(), graceMs, nowMs)) {
			EventLog.state("endpoint_gone")
				.with("endpoint", record.key())
				.with("offset", record.offset())
				.with("grace_ms", graceMs)
				.write();
		}
	}

	private void updated(KeyedRecord record, long nowMs) {
		try {
			EndpointRecord endpoint = EndpointRecordDecoder.decode(record.key(), record.value());
			EndpointDirectory.Change change = this.view.put(endpoint, nowMs);
			if (change != EndpointDirectory.Change.UPDATED) {
				EventLog.state("endpoint_" + change.name().toLowerCase(Locale.ROOT))
					.with("endpoint", endpoint.id())
					.with("service", endpoint.service())
					.with("domain", endpoint.failureDomain())
					.with("cold_ms", endpoint.coldForMs())
					.with("offset", record.offset())
					.write();
			}
		}
		catch (MalformedRecordException ex) {
			EventLog.state("endpoint_record_refused")
				.with("endpoint", record.key())
				.with("offset", record.offset())
				.with("cause", ex.getMessage())
				.write();
			this.view.directory().remove(record.key(), 0, nowMs);
		}
	}

	private void memberPage(StorePage page) {
		for (KeyedRecord record : page.records()) {
			if (record.isRemoval()) {
				this.peers.removePeer(record.key());
			}
			else {
				this.peers.updatePeer(record.key(), new String(record.value(), StandardCharsets.UTF_8));
			}
		}
	}

	@Override
	public void close() {
		this.threads.forEach(Thread::interrupt);
	}

}
