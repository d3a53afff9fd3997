package org.fulmargap.entry.peer;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.fulmargap.batch.WorkItem;
import org.fulmargap.entry.stage.WorkItemOutcome;
import org.fulmargap.fleet.EndpointLoad;
import org.fulmargap.fleet.FleetMember;
import org.fulmargap.fleet.FleetView;
import org.fulmargap.fleet.LoadReport;
import org.fulmargap.fleet.RolloutExchange;
import org.fulmargap.fleet.StorePosition;
import org.fulmargap.placement.Brittleness;
import org.fulmargap.placement.EndpointProcess;
import org.fulmargap.placement.NamedLimit;
import org.fulmargap.placement.Prompt;
import org.fulmargap.placement.PromptPart;
import org.fulmargap.platform.KeyedRecord;
import org.fulmargap.platform.StorePage;
import org.fulmargap.platform.StoreTopic;
import org.fulmargap.routing.PartCrash;
import org.fulmargap.routing.PartVerdict;
import org.fulmargap.stream.StreamOrigin;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests of {@link PeerCodec}.
 */
class PeerCodecTests {

	@Test
	void decodedMessagesEqualTheEncodedOnes() throws IOException {
		List<PeerMessage> messages = List.of(new PeerMessage.Hello(new FleetMember("vm-1", "10.0.0.1:7", "a", 1.5), 5),
				new PeerMessage.LiveVms(List.of(new FleetView.VmState("vm-2", true))),
				new PeerMessage.Ping(true, false),
				new PeerMessage.Batch(
						List.of(new PeerMessage.Cancellation(1), new PeerMessage.CrashReport("print", "engine"))),
				new PeerMessage.RecordsRequest(StoreTopic.ENDPOINTS, -1),
				new PeerMessage.PromptSent("engine", new Prompt(10, 2, List.of(new PromptPart("aa", 6)))),
				new PeerMessage.Outcomes(
						List.of(WorkItemOutcome.done(3, "handle", "a", 1_700_000_000_005L), WorkItemOutcome.failed(4))),
				new PeerMessage.Cancellation(8), new PeerMessage.Release("stage", List.of("h1", "h2"), true),
				new PeerMessage.CrashReport("print", "engine"),
				new PeerMessage.StreamBegun(new StreamOrigin("attempt", "pool", "v2")));
		for (PeerMessage message : messages) {
			assertThat(PeerCodec.decode(PeerCodec.encode(message, 7), 7)).isEqualTo(message);
		}
	}

	@Test
	void timesOfPromptPartsAreConvertedToTheClockOfTheReceiver() throws IOException {
		PeerMessage crash = new PeerMessage.PromptPartCrash(new PartCrash("engine@1", 900, Set.of("aa")));
		assertThat(PeerCodec.decode(PeerCodec.encode(crash, 1_000), 51_000))
			.isEqualTo(new PeerMessage.PromptPartCrash(new PartCrash("engine@1", 50_900, Set.of("aa"))));
		PeerMessage answered = new PeerMessage.PromptPartsAnswered(Set.of("aa", "bb"), 800);
		assertThat(PeerCodec.decode(PeerCodec.encode(answered, 1_000), 51_000))
			.isEqualTo(new PeerMessage.PromptPartsAnswered(Set.of("aa", "bb"), 50_800));
		PeerMessage verdicts = new PeerMessage.PromptPartVerdicts(List.of(new PartVerdict(Set.of("aa"), 500, 2_000)));
		assertThat(PeerCodec.decode(PeerCodec.encode(verdicts, 1_000), 51_000))
			.isEqualTo(new PeerMessage.PromptPartVerdicts(List.of(new PartVerdict(Set.of("aa"), 50_500, 52_000))));
	}

	@Test
	void heartbeatsAreDecodedWithAllFields() throws IOException {
		LoadReport report = new LoadReport(Map.of("e", new EndpointLoad(2, 900)),
				Map.of("stage", new int[] { 1, 0, 2, 0 }), Map.of("vm-1", Map.of("stage", 2.5)),
				Set.of(new EndpointProcess("e", 1_700_000_000_000L), new EndpointProcess("f", 0)),
				Map.of(new EndpointProcess("e", 5), new NamedLimit(0.5, 900), new EndpointProcess("g", 6),
						new NamedLimit(NamedLimit.UNLIMITED, 700)));
		PeerMessage.Heartbeat sent = new PeerMessage.Heartbeat(PeerRelation.MEMBER, true, false, true, report,
				List.of(new StorePosition(3, 4), StorePosition.UNREAD));
		PeerMessage.Heartbeat received = (PeerMessage.Heartbeat) PeerCodec.decode(PeerCodec.encode(sent, 1_000),
				51_000);
		assertThat(received.report().limits())
			.isEqualTo(Map.of(new EndpointProcess("e", 5), new NamedLimit(0.5, 50_900), new EndpointProcess("g", 6),
					new NamedLimit(NamedLimit.UNLIMITED, 50_700)));
		assertThat(received.report().loads()).isEqualTo(report.loads());
		assertThat(received.report().availableEndpoints()).isEqualTo(report.availableEndpoints());
		assertThat(received.report().leaving()).isEqualTo(report.leaving());
		assertThat(received.relation()).isEqualTo(PeerRelation.MEMBER);
		assertThat(received.draining()).isTrue();
		assertThat(received.receiving()).isFalse();
		assertThat(received.storeReached()).isTrue();
		assertThat(received.positions()).containsExactly(new StorePosition(3, 4), StorePosition.UNREAD);
		assertThat(received.report().admittedItems().get("stage")).containsExactly(1, 0, 2, 0);
	}

	@Test
	void aHeartbeatOfAnOlderProgramHasPositionsWithoutAHistory() throws IOException {
		List<StorePosition> positions = List.of(new StorePosition(3, 4), StorePosition.UNREAD);
		byte[] frame = PeerCodec
			.encode(new PeerMessage.Heartbeat(PeerRelation.NONE, false, true, true, LoadReport.NONE, positions), 0);
		byte[] older = Arrays.copyOf(frame, frame.length - 1 - positions.size());
		PeerMessage.Heartbeat received = (PeerMessage.Heartbeat) PeerCodec.decode(older, 0);
		assertThat(received.positions()).containsExactly(new StorePosition(0, 4), StorePosition.UNREAD);
	}

	@Test
	void brittleEndpointsFollowTheRolloutsWhichOlderProgramsReadLast() throws IOException {
		Map<EndpointProcess, Brittleness> brittle = Map.of(new EndpointProcess("e", 5), new Brittleness(4, 900),
				new EndpointProcess("f", 6), new Brittleness(Brittleness.STURDY, 700));
		LoadReport report = new LoadReport(Map.of(), Map.of(), Map.of(), Set.of(), Map.of(), RolloutExchange.NONE,
				brittle);
		byte[] frame = PeerCodec
			.encode(new PeerMessage.Heartbeat(PeerRelation.NONE, false, true, true, report, List.of()), 1_000);
		byte[] older = PeerCodec
			.encode(new PeerMessage.Heartbeat(PeerRelation.NONE, false, true, true, LoadReport.NONE, List.of()), 1_000);
		PeerMessage.Heartbeat received = (PeerMessage.Heartbeat) PeerCodec.decode(frame, 51_000);
		assertThat(received.report().brittle()).isEqualTo(Map.of(new EndpointProcess("e", 5),
				new Brittleness(4, 50_900), new EndpointProcess("f", 6), new Brittleness(Brittleness.STURDY, 50_700)));
		byte[] noRollouts = { (byte) 0x80, (byte) 0x80 };
		assertThat(Arrays.copyOf(frame, older.length)).isEqualTo(older);
		assertThat(Arrays.copyOfRange(frame, older.length, older.length + 2)).isEqualTo(noRollouts);
		assertThat(((PeerMessage.Heartbeat) PeerCodec.decode(older, 0)).report().brittle()).isEmpty();
	}

	@Test
	void recordsAreDecodedWithTopicAndOffset() throws IOException {
		StorePage page = new StorePage(2, List.of(new KeyedRecord("config", new byte[] { 1, 2 }, 6)), 7, true);
		PeerMessage.Records received = (PeerMessage.Records) PeerCodec
			.decode(PeerCodec.encode(new PeerMessage.Records(StoreTopic.OPERATOR, 3, page), 0), 0);
		assertThat(received.topic()).isEqualTo(StoreTopic.OPERATOR);
		assertThat(received.from()).isEqualTo(3);
		assertThat(received.page().position()).isEqualTo(new StorePosition(2, 7));
		assertThat(received.page().isComplete()).isTrue();
		assertThat(received.page().records().get(0).value()).containsExactly(1, 2);
	}

	@Test
	void timesAreConvertedToTheClockOfTheReceiver() throws IOException {
		WorkItem item = new WorkItem(1, "id", 0, 2, "", List.of("h"), "a", 1, 1_500, 3_000, 60);
		PeerMessage.WorkItems received = (PeerMessage.WorkItems) PeerCodec
			.decode(PeerCodec.encode(new PeerMessage.WorkItems("stage", List.of(item)), 1_000), 51_000);
		assertThat(received.items())
			.containsExactly(new WorkItem(1, "id", 0, 2, "", List.of("h"), "a", 1, 51_500, 53_000, 60));
	}

	@Test
	void malformedFramesAreRefused() {
		for (byte[] bytes : List.of(new byte[0], new byte[] { 99 }, new byte[] { 3, 1 }, new byte[] { (byte) 0xc1 })) {
			assertThatExceptionOfType(IOException.class).isThrownBy(() -> PeerCodec.decode(bytes, 0));
		}
	}

}
