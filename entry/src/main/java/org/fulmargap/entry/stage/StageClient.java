package org.fulmargap.entry.stage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import org.fulmargap.batch.WorkItem;
import org.fulmargap.entry.EventLog;
import org.fulmargap.entry.peer.PeerMessage;
import org.fulmargap.entry.peer.PeerNetwork;

/**
 * Submits work items to the coordinator of their service, the entry VM that makes the
 * calls of the service. Each VM determines the coordinator by itself, from the VMs that
 * it knows to be alive. When a coordinator is lost, its work items are submitted again to
 * the next one. While two VMs both act as coordinator, the calls of each hold fewer work
 * items. Confined to the event loop.
 */
public final class StageClient {

	/**
	 * The highest id before the first one. Ids start at random, so that a late outcome
	 * for a work item of this VM's previous process matches none of this one.
	 */
	private static final int MAX_FIRST_ITEM_ID = Integer.MAX_VALUE;

	private final EventLoop loop;

	private final StageCallDispatcher dispatcher;

	private final PeerNetwork peers;

	private final Map<Long, Submission> submissions = new HashMap<>();

	private final Map<RemoteItem, Runnable> cancellations = new HashMap<>();

	private final Map<PeerService, List<WorkItem>> outgoing = new LinkedHashMap<>();

	private final Map<String, List<WorkItemOutcome>> outgoingOutcomes = new LinkedHashMap<>();

	private long lastItemId = ThreadLocalRandom.current().nextInt(MAX_FIRST_ITEM_ID);

	private boolean flushScheduled;

	/**
	 * Creates a client.
	 * @param loop the event loop
	 * @param dispatcher makes the calls of the services that this VM coordinates
	 * @param peers the other entry VMs
	 */
	public StageClient(EventLoop loop, StageCallDispatcher dispatcher, PeerNetwork peers) {
		this.loop = loop;
		this.dispatcher = dispatcher;
		this.peers = peers;
	}

	/**
	 * Returns a new item id.
	 * @return the id, unique among the work items of this client
	 */
	public long newItemId() {
		this.lastItemId++;
		return this.lastItemId;
	}

	/**
	 * Submits a work item.
	 * @param service the service of its stage
	 * @param item the work item, with an id from {@link #newItemId}
	 * @param outcome receives the outcomes of the work item: {@code INPUTS_READ} any
	 * number of times, then one last status; not called after {@link #cancel}
	 */
	public void submit(String service, WorkItem item, Consumer<WorkItemOutcome> outcome) {
		Submission submission = new Submission(service, item, outcome);
		this.submissions.put(item.itemId(), submission);
		dispatch(submission);
	}

	private void dispatch(Submission submission) {
		submission.coordinator = this.peers.coordinatorOf(submission.service);
		if (submission.coordinator.equals(this.peers.ownName())) {
			submission.cancellation = this.dispatcher.submit(submission.service, submission.item, this::handleOutcome);
			return;
		}
		this.outgoing
			.computeIfAbsent(new PeerService(submission.coordinator, submission.service), (key) -> new ArrayList<>())
			.add(submission.item);
		scheduleFlush();
	}

	private void scheduleFlush() {
		if (!this.flushScheduled) {
			this.flushScheduled = true;
			this.loop.execute(this::flush);
		}
	}

	private void flush() {
		this.flushScheduled = false;
		Map<PeerService, List<WorkItem>> items = new LinkedHashMap<>(this.outgoing);
		this.outgoing.clear();
		items.forEach((target, list) -> this.peers.send(target.peer, new PeerMessage.WorkItems(target.service, list)));
		Map<String, List<WorkItemOutcome>> outcomes = new LinkedHashMap<>(this.outgoingOutcomes);
		this.outgoingOutcomes.clear();
		outcomes.forEach((peer, list) -> this.peers.send(peer, new PeerMessage.Outcomes(list)));
	}

	private void handleOutcome(WorkItemOutcome outcome) {
		Submission submission = (outcome.status().isLast()) ? this.submissions.remove(outcome.itemId())
				: this.submissions.get(outcome.itemId());
		if (submission != null) {
			submission.outcome.accept(outcome);
		}
	}

	/**
	 * Cancels a work item. Does nothing if it has ended.
	 * @param itemId the id of the work item
	 */
	public void cancel(long itemId) {
		Submission submission = this.submissions.remove(itemId);
		if (submission == null) {
			return;
		}
		if (submission.cancellation != null) {
			submission.cancellation.run();
		}
		else {
			this.peers.send(submission.coordinator, new PeerMessage.Cancellation(itemId));
		}
	}

	/**
	 * Makes a work item expire earlier, if it waits at this VM. A coordinator elsewhere
	 * keeps the later time.
	 * @param itemId the id of the work item
	 * @param limitAtMs the latest time at which it may expire, in milliseconds
	 */
	public void expireBy(long itemId, long limitAtMs) {
		Submission submission = this.submissions.get(itemId);
		if (submission != null && submission.cancellation != null
				&& this.dispatcher.withdraw(submission.service, submission.item)) {
			submission.item = submission.item.expiringBy(limitAtMs);
			submission.cancellation = this.dispatcher.submit(submission.service, submission.item, this::handleOutcome);
		}
	}

	/**
	 * Returns whether a result is gone because the endpoint that kept it has started
	 * again.
	 * @param result the outcome of a work item with a result
	 * @return {@code true} if its handle must not be used any more
	 */
	public boolean isLost(WorkItemOutcome result) {
		return this.dispatcher.isReplaced(result.makerAddress(), result.makerStartedAtMs());
	}

	/**
	 * Releases results that are no longer needed.
	 * @param service the service of their stage
	 * @param handles the handles of the results
	 */
	public void release(String service, List<String> handles) {
		release(new PeerMessage.Release(service, List.copyOf(handles), false));
	}

	/**
	 * Marks results as evictable, because they are needed again only if a call fails:
	 * they are kept as long as there is space for them.
	 * @param service the service of their stage
	 * @param handles the handles of the results
	 */
	public void markEvictable(String service, List<String> handles) {
		release(new PeerMessage.Release(service, List.copyOf(handles), true));
	}

	private void release(PeerMessage.Release release) {
		String coordinator = this.peers.coordinatorOf(release.service());
		if (coordinator.equals(this.peers.ownName()) || !this.peers.send(coordinator, release)) {
			receive(release);
		}
	}

	/**
	 * Releases results or marks them as evictable.
	 * @param release the results, from this VM or a peer
	 */
	public void receive(PeerMessage.Release release) {
		if (release.evictable()) {
			this.dispatcher.markEvictable(release.service(), release.handles());
		}
		else {
			this.dispatcher.release(release.handles());
		}
	}

	/**
	 * Queues the work items of a peer, and sends their outcomes back to it. A work item
	 * that the peer submits again replaces the earlier one.
	 * @param peer the name of the peer
	 * @param message the work items
	 */
	public void receive(String peer, PeerMessage.WorkItems message) {
		for (WorkItem item : message.items()) {
			RemoteItem key = new RemoteItem(peer, item.itemId());
			cancel(key);
			Runnable cancellation = this.dispatcher.submit(message.service(), item, (outcome) -> {
				if (outcome.status().isLast()) {
					this.cancellations.remove(key);
				}
				this.outgoingOutcomes.computeIfAbsent(peer, (name) -> new ArrayList<>()).add(outcome);
				scheduleFlush();
			});
			this.cancellations.put(key, cancellation);
		}
	}

	/**
	 * Cancels a work item of a peer. Does nothing if it has ended.
	 * @param peer the name of the peer
	 * @param message the cancellation
	 */
	public void receive(String peer, PeerMessage.Cancellation message) {
		cancel(new RemoteItem(peer, message.itemId()));
	}

	private void cancel(RemoteItem key) {
		Runnable cancellation = this.cancellations.remove(key);
		if (cancellation != null) {
			cancellation.run();
		}
	}

	/**
	 * Receives the outcomes of work items that were submitted to a peer. Outcomes of
	 * cancelled work items are ignored; their results stay at the endpoint until they
	 * expire.
	 * @param message the outcomes
	 */
	public void receive(PeerMessage.Outcomes message) {
		for (WorkItemOutcome outcome : message.outcomes()) {
			handleOutcome(outcome);
		}
	}

	/**
	 * Submits the work items that a lost peer coordinated to the current coordinators,
	 * and cancels the work items that came from it.
	 * @param peer the name of the peer
	 */
	public void peerLost(String peer) {
		List<Submission> lost = this.submissions.values()
			.stream()
			.filter((submission) -> peer.equals(submission.coordinator))
			.toList();
		if (!lost.isEmpty()) {
			EventLog.state("pieces_moved").with("peer", peer).with("pieces", lost.size()).write();
		}
		lost.forEach(this::dispatch);
		List<RemoteItem> ofPeer = this.cancellations.keySet().stream().filter((key) -> key.peer.equals(peer)).toList();
		ofPeer.forEach(this::cancel);
	}

	/**
	 * Returns the VMs that have work items of this VM.
	 * @return their names, without this VM
	 */
	public Set<String> awaitedPeers() {
		Set<String> awaited = new HashSet<>();
		this.submissions.values().forEach((submission) -> awaited.add(submission.coordinator));
		awaited.remove(this.peers.ownName());
		return awaited;
	}

	private static final class Submission {

		private final String service;

		private final Consumer<WorkItemOutcome> outcome;

		private WorkItem item;

		private String coordinator;

		private Runnable cancellation;

		private Submission(String service, WorkItem item, Consumer<WorkItemOutcome> outcome) {
			this.service = service;
			this.item = item;
			this.outcome = outcome;
		}

	}

	private record RemoteItem(String peer, long itemId) {
	}

	private record PeerService(String peer, String service) {
	}

}
