package org.fulmargap.entry.stage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import org.fulmargap.batch.WorkItem;
import org.fulmargap.entry.EventLog;
import org.fulmargap.entry.peer.PeerMessage;
import org.fulmargap.entry.peer.PeerNetwork;

/**
 * Hands work items to the entry VM that is in charge of their service: the VM with the
 * highest hash among those that this VM hears. When that VM is lost its work items go to
 * the next one; two VMs that both believe to be in charge only form smaller calls.
 * Confined to the event loop.
 */
public final class StageClient {

	private final EventLoop loop;

	private final StageCallDispatcher dispatcher;

	private final PeerNetwork peers;

	private final Map<Long, Submission> submissions = new HashMap<>();

	private final Map<RemoteItem, Runnable> cancellations = new HashMap<>();

	private final Map<PeerService, List<WorkItem>> outgoing = new LinkedHashMap<>();

	private final Map<String, List<WorkItemOutcome>> outgoingOutcomes = new LinkedHashMap<>();

	private long lastItemId;

	private boolean flushPlanned;

	/**
	 * Creates a client.
	 * @param loop the event loop
	 * @param dispatcher makes the calls that this VM is in charge of
	 * @param peers the other entry VMs
	 */
	public StageClient(EventLoop loop, StageCallDispatcher dispatcher, PeerNetwork peers) {
		this.loop = loop;
		this.dispatcher = dispatcher;
		this.peers = peers;
	}

	/**
	 * Returns the number for the next work item.
	 * @return the number
	 */
	public long newItemId() {
		this.lastItemId++;
		return this.lastItemId;
	}

	/**
	 * Has a work item done.
	 * @param service the service of its stage
	 * @param item the work item, with a number from {@link #newItemId}
	 * @param outcome hears what becomes of it, unless it is cancelled
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
		flushSoon();
	}

	private void flushSoon() {
		if (!this.flushPlanned) {
			this.flushPlanned = true;
			this.loop.execute(this::flush);
		}
	}

	private void flush() {
		this.flushPlanned = false;
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
	 * Cancels a work item that nobody needs any more.
	 * @param itemId the number of the work item
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
	 * Gives up results.
	 * @param service the service of their stage
	 * @param handles the names of the results
	 */
	public void release(String service, List<String> handles) {
		release(new PeerMessage.Release(service, List.copyOf(handles), false));
	}

	/**
	 * Gives up results that are needed again only if a call fails: they are kept as long
	 * as there is room for them.
	 * @param service the service of their stage
	 * @param handles the names of the results
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
	 * Takes results that were given up.
	 * @param release the results
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
	 * Takes work items of a peer.
	 * @param peer the name of the peer
	 * @param message the work items
	 */
	public void receive(String peer, PeerMessage.WorkItems message) {
		for (WorkItem item : message.items()) {
			RemoteItem key = new RemoteItem(peer, item.itemId());
			Runnable cancellation = this.dispatcher.submit(message.service(), item, (outcome) -> {
				if (outcome.status().isLast()) {
					this.cancellations.remove(key);
				}
				this.outgoingOutcomes.computeIfAbsent(peer, (name) -> new ArrayList<>()).add(outcome);
				flushSoon();
			});
			this.cancellations.put(key, cancellation);
		}
	}

	/**
	 * Takes the cancellation of a peer's work item.
	 * @param peer the name of the peer
	 * @param message the cancellation
	 */
	public void receive(String peer, PeerMessage.Cancellation message) {
		Runnable cancellation = this.cancellations.remove(new RemoteItem(peer, message.itemId()));
		if (cancellation != null) {
			cancellation.run();
		}
	}

	/**
	 * Takes results that a peer's calls brought. A result that nobody waits for any more
	 * is given up.
	 * @param message the results
	 */
	public void receive(PeerMessage.Outcomes message) {
		for (WorkItemOutcome outcome : message.outcomes()) {
			handleOutcome(outcome);
		}
	}

	/**
	 * Hands the work items of a lost peer to the VM that is in charge now, and drops the
	 * work items that came from it.
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
		List<RemoteItem> orphans = this.cancellations.keySet().stream().filter((key) -> key.peer.equals(peer)).toList();
		orphans.forEach((key) -> this.cancellations.remove(key).run());
	}

	private static final class Submission {

		private final String service;

		private final WorkItem item;

		private final Consumer<WorkItemOutcome> outcome;

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
