package org.fulmargap.entry.peer;

import java.util.List;
import java.util.Set;

import org.fulmargap.batch.WorkItem;
import org.fulmargap.entry.stage.WorkItemOutcome;
import org.fulmargap.fleet.FleetMember;
import org.fulmargap.fleet.FleetView;
import org.fulmargap.fleet.LoadReport;
import org.fulmargap.fleet.StorePosition;
import org.fulmargap.placement.Prompt;
import org.fulmargap.platform.StorePage;
import org.fulmargap.platform.StoreTopic;
import org.fulmargap.routing.PartCrash;
import org.fulmargap.routing.PartVerdict;
import org.fulmargap.stream.StreamOrigin;

/**
 * A message between entry VMs.
 */
public sealed interface PeerMessage {

	/**
	 * The first message on a connection.
	 *
	 * @param sender the sender
	 * @param startedAtMs when it started, in milliseconds since the epoch
	 */
	record Hello(FleetMember sender, long startedAtMs) implements PeerMessage {
	}

	/**
	 * Names the VMs whose state the sender's next heartbeats confirm. Sent when the list
	 * has changed, before the heartbeat.
	 *
	 * @param vms the VMs that are alive, without the sender
	 */
	record LiveVms(List<FleetView.VmState> vms) implements PeerMessage {
	}

	/**
	 * Reports that the sender is alive, the load and its read positions in the store.
	 *
	 * @param relation what the receiver is to the sender, which decides on the content of
	 * the report
	 * @param draining whether the sender is shutting down
	 * @param receiving whether the sender currently receives messages from the receiver;
	 * a connection can stop delivering without being closed, which only its receiving end
	 * notices
	 * @param storeReached whether the sender gets the newest records of the store
	 * @param report the load of the sender and of VMs that it reports for
	 * @param positions up to where the sender knows each topic of the store, in the order
	 * of the topics
	 */
	record Heartbeat(PeerRelation relation, boolean draining, boolean receiving, boolean storeReached,
			LoadReport report, List<StorePosition> positions) implements PeerMessage {
	}

	/**
	 * Asks for a sign of life from a VM that exchanges no heartbeats with the sender, or
	 * gives it.
	 *
	 * @param answer whether this is the answer
	 * @param receiving whether the sender currently receives messages from the receiver
	 */
	record Ping(boolean answer, boolean receiving) implements PeerMessage {
	}

	/**
	 * Requests records of the store that the sender has not received from the store.
	 *
	 * @param topic the topic
	 * @param from the first offset; a negative one for the newest record of each key
	 */
	record RecordsRequest(StoreTopic topic, long from) implements PeerMessage {
	}

	/**
	 * Records that answer a {@link RecordsRequest}, or new ones for a VM that relies on
	 * the sender.
	 *
	 * @param topic the topic
	 * @param from the first offset that the page covers; ignored if it is complete
	 * @param page the records
	 */
	record Records(StoreTopic topic, long from, StorePage page) implements PeerMessage {
	}

	/**
	 * Reports that a prompt was sent to an engine, which caches its parts.
	 *
	 * @param endpoint the name of the engine
	 * @param prompt the prompt
	 */
	record PromptSent(String endpoint, Prompt prompt) implements PeerMessage {
	}

	/**
	 * Work items for the coordinator of a service.
	 *
	 * @param service the name of the service
	 * @param items the work items, with times in the local clock; the codec converts them
	 * to the receiver's clock
	 */
	record WorkItems(String service, List<WorkItem> items) implements PeerMessage {
	}

	/**
	 * Reports the outcomes of work items.
	 *
	 * @param outcomes the outcomes
	 */
	record Outcomes(List<WorkItemOutcome> outcomes) implements PeerMessage {
	}

	/**
	 * Cancels a work item.
	 *
	 * @param itemId the id of the work item at the sender
	 */
	record Cancellation(long itemId) implements PeerMessage {
	}

	/**
	 * Releases results that are no longer needed.
	 *
	 * @param service the name of the service that made them
	 * @param handles the handles of the results
	 * @param evictable whether they are kept until their space is needed, instead of
	 * being freed at once
	 */
	record Release(String service, List<String> handles, boolean evictable) implements PeerMessage {
	}

	/**
	 * Reports that a request crashed an endpoint.
	 *
	 * @param fingerprint the fingerprint of the request
	 * @param endpoint the name of the endpoint
	 */
	record CrashReport(String fingerprint, String endpoint) implements PeerMessage {
	}

	/**
	 * Reports the crash of an engine and the prompt parts of the unanswered requests that
	 * the sender had in flight there.
	 *
	 * @param crash the crash, with the time in the local clock; the codec converts it to
	 * the receiver's clock
	 */
	record PromptPartCrash(PartCrash crash) implements PeerMessage {
	}

	/**
	 * Reports that requests with prompt parts that were under suspicion were answered.
	 *
	 * @param parts the parts
	 * @param atMs when, in the local clock; the codec converts it to the receiver's clock
	 */
	record PromptPartsAnswered(Set<String> parts, long atMs) implements PeerMessage {
		/**
		 * Creates a message with a copy of the set.
		 */
		public PromptPartsAnswered {
			parts = Set.copyOf(parts);
		}
	}

	/**
	 * Names the prompt parts that the sender refuses, for VMs that have started since.
	 *
	 * @param verdicts the verdicts, with times in the local clock; the codec converts
	 * them to the receiver's clock
	 */
	record PromptPartVerdicts(List<PartVerdict> verdicts) implements PeerMessage {
	}

	/**
	 * Reports where a stream began, while its service has several software versions.
	 *
	 * @param origin the origin
	 */
	record StreamBegun(StreamOrigin origin) implements PeerMessage {
	}

	/**
	 * Asks for a connection to an endpoint, in place of a greeting. The answer is a frame
	 * with a {@link RelayOutcome}; if it is open, the connection carries the bytes of the
	 * caller and of the endpoint.
	 *
	 * @param address the address of the endpoint as {@code IP:port}
	 * @param readsFrames whether the sender understands
	 * {@link RelayOutcome#OPEN_WITH_FRAMES}
	 */
	record RelayRequest(String address, boolean readsFrames) implements PeerMessage {
	}

	/**
	 * Several messages in one frame, in the order in which they are to be handled.
	 *
	 * @param messages the messages, none of which is a batch
	 */
	record Batch(List<PeerMessage> messages) implements PeerMessage {
	}

}
