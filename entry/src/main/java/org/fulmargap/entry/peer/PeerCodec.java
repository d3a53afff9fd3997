package org.fulmargap.entry.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
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
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes messages between entry VMs in MessagePack: the number of the type, then the
 * fields in order. Times of work items are sent relative to the current time, because the
 * clocks of the VMs are not synchronized.
 */
final class PeerCodec {

	private static final int MAX_ENTRIES = 100_000;

	private PeerCodec() {
	}

	static byte[] encode(PeerMessage message, long nowMs) {
		try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
			write(out, message, nowMs);
			return out.toByteArray();
		}
		catch (IOException ex) {
			throw new IllegalStateException("writing to memory failed", ex);
		}
	}

	private static void write(MessageBufferPacker out, PeerMessage message, long nowMs) throws IOException {
		if (message instanceof PeerMessage.Hello hello) {
			FleetMember sender = hello.sender();
			out.packInt(Type.HELLO.ordinal()).packString(sender.name()).packString(sender.address());
			out.packString(sender.failureDomain()).packDouble(sender.capacity()).packLong(hello.startedAtMs());
		}
		else if (message instanceof PeerMessage.Heartbeat heartbeat) {
			writeHeartbeat(out, heartbeat, nowMs);
		}
		else if (message instanceof PeerMessage.PromptSent sent) {
			out.packInt(Type.PROMPT_SENT.ordinal()).packString(sent.endpoint());
			writePrompt(out, sent.prompt());
		}
		else if (message instanceof PeerMessage.WorkItems items) {
			out.packInt(Type.WORK_ITEMS.ordinal()).packString(items.service()).packArrayHeader(items.items().size());
			for (WorkItem item : items.items()) {
				writeWorkItem(out, item, nowMs);
			}
		}
		else {
			writeOther(out, message, nowMs);
		}
	}

	private static void writeHeartbeat(MessageBufferPacker out, PeerMessage.Heartbeat heartbeat, long nowMs)
			throws IOException {
		out.packInt(Type.HEARTBEAT.ordinal()).packInt(heartbeat.relation().ordinal());
		out.packBoolean(heartbeat.draining()).packBoolean(heartbeat.receiving()).packBoolean(heartbeat.storeReached());
		LoadReport report = heartbeat.report();
		out.packMapHeader(report.loads().size());
		for (Map.Entry<String, EndpointLoad> endpoint : report.loads().entrySet()) {
			EndpointLoad load = endpoint.getValue();
			out.packString(endpoint.getKey()).packInt(load.inFlight()).packLong(load.prefillTokens());
		}
		writeAdmitted(out, report.admittedItems());
		out.packMapHeader(report.availableEndpoints().size());
		for (Map.Entry<String, Map<String, Double>> vm : report.availableEndpoints().entrySet()) {
			out.packString(vm.getKey());
			writeAvailable(out, vm.getValue());
		}
		out.packArrayHeader(report.leaving().size());
		for (EndpointProcess process : report.leaving()) {
			out.packString(process.endpoint()).packLong(process.startedAtMs());
		}
		out.packMapHeader(report.limits().size());
		for (Map.Entry<EndpointProcess, NamedLimit> limit : report.limits().entrySet()) {
			out.packString(limit.getKey().endpoint()).packLong(limit.getKey().startedAtMs());
			out.packDouble(limit.getValue().perSecond()).packLong(limit.getValue().observedAtMs() - nowMs);
		}
		writePositions(out, heartbeat.positions());
		// A receiver takes what follows the positions for rollouts.
		if (!report.rollouts().isEmpty() || !report.brittle().isEmpty()) {
			RolloutCodec.write(out, report.rollouts());
		}
		if (!report.brittle().isEmpty()) {
			BrittleCodec.write(out, report.brittle(), nowMs);
		}
	}

	// VMs with an older program read the offsets and skip the histories, so these are the
	// last fields of a heartbeat, which is the last message of a frame.
	private static void writePositions(MessageBufferPacker out, List<StorePosition> positions) throws IOException {
		out.packArrayHeader(positions.size());
		for (StorePosition position : positions) {
			out.packLong(position.offset());
		}
		out.packArrayHeader(positions.size());
		for (StorePosition position : positions) {
			out.packLong(position.history());
		}
	}

	private static void writeOther(MessageBufferPacker out, PeerMessage message, long nowMs) throws IOException {
		if (message instanceof PeerMessage.Outcomes outcomes) {
			out.packInt(Type.OUTCOMES.ordinal()).packArrayHeader(outcomes.outcomes().size());
			for (WorkItemOutcome outcome : outcomes.outcomes()) {
				out.packLong(outcome.itemId())
					.packInt(outcome.status().ordinal())
					.packString(outcome.handle())
					.packString(outcome.failureDomain());
			}
			// VMs with an older program skip it.
			for (WorkItemOutcome outcome : outcomes.outcomes()) {
				out.packLong(outcome.makerStartedAtMs());
			}
		}
		else if (message instanceof PeerMessage.Cancellation cancellation) {
			out.packInt(Type.CANCELLATION.ordinal()).packLong(cancellation.itemId());
		}
		else if (message instanceof PeerMessage.Release release) {
			out.packInt(Type.RELEASE.ordinal()).packString(release.service()).packBoolean(release.evictable());
			writeStrings(out, release.handles());
		}
		else if (message instanceof PeerMessage.RecordsRequest request) {
			out.packInt(Type.RECORDS_REQUEST.ordinal()).packInt(request.topic().ordinal()).packLong(request.from());
		}
		else if (message instanceof PeerMessage.LiveVms live) {
			out.packInt(Type.LIVE_VMS.ordinal()).packArrayHeader(live.vms().size());
			for (FleetView.VmState vm : live.vms()) {
				out.packString(vm.name()).packBoolean(vm.draining());
			}
		}
		else if (message instanceof PeerMessage.Batch batch) {
			out.packInt(Type.BATCH.ordinal()).packArrayHeader(batch.messages().size());
			for (PeerMessage part : batch.messages()) {
				write(out, part, nowMs);
			}
		}
		else if (message instanceof PeerMessage.StreamBegun begun) {
			StreamOrigin origin = begun.origin();
			out.packInt(Type.STREAM_BEGUN.ordinal()).packString(origin.attemptId());
			out.packString(origin.service()).packString(origin.softwareVersion());
		}
		else if (message instanceof PeerMessage.RelayRequest request) {
			out.packInt(Type.RELAY_REQUEST.ordinal()).packString(request.address());
			// VMs with an older program skip it.
			out.packBoolean(request.readsFrames());
		}
		else if (message instanceof PeerMessage.Ping ping) {
			out.packInt(Type.PING.ordinal()).packBoolean(ping.answer()).packBoolean(ping.receiving());
		}
		else if (message instanceof PeerMessage.Records records) {
			out.packInt(Type.RECORDS.ordinal());
			writeRecords(out, records);
		}
		else if (message instanceof PeerMessage.CrashReport crashReport) {
			out.packInt(Type.CRASH_REPORT.ordinal())
				.packString(crashReport.fingerprint())
				.packString(crashReport.endpoint());
		}
		else {
			writePromptParts(out, message, nowMs);
		}
	}

	private static void writePromptParts(MessageBufferPacker out, PeerMessage message, long nowMs) throws IOException {
		if (message instanceof PeerMessage.PromptPartCrash crashed) {
			PartCrash crash = crashed.crash();
			out.packInt(Type.PROMPT_PART_CRASH.ordinal()).packString(crash.process()).packLong(crash.atMs() - nowMs);
			writeStrings(out, crash.parts());
		}
		else if (message instanceof PeerMessage.PromptPartsAnswered answered) {
			out.packInt(Type.PROMPT_PARTS_ANSWERED.ordinal()).packLong(answered.atMs() - nowMs);
			writeStrings(out, answered.parts());
		}
		else if (message instanceof PeerMessage.PromptPartVerdicts refused) {
			out.packInt(Type.PROMPT_PART_VERDICTS.ordinal()).packArrayHeader(refused.verdicts().size());
			for (PartVerdict verdict : refused.verdicts()) {
				out.packLong(verdict.sinceMs() - nowMs).packLong(verdict.untilMs() - nowMs);
				writeStrings(out, verdict.parts());
			}
		}
		else {
			throw new IllegalStateException("no encoding for " + message.getClass());
		}
	}

	private static void writeAvailable(MessageBufferPacker out, Map<String, Double> available) throws IOException {
		out.packMapHeader(available.size());
		for (Map.Entry<String, Double> service : available.entrySet()) {
			out.packString(service.getKey()).packDouble(service.getValue());
		}
	}

	private static Map<String, Double> readAvailable(MessageUnpacker in) throws IOException {
		Map<String, Double> available = new HashMap<>();
		for (int i = readMapSize(in); i > 0; i--) {
			available.put(in.unpackString(), in.unpackDouble());
		}
		return available;
	}

	private static void writeAdmitted(MessageBufferPacker out, Map<String, int[]> admitted) throws IOException {
		out.packMapHeader(admitted.size());
		for (Map.Entry<String, int[]> service : admitted.entrySet()) {
			out.packString(service.getKey()).packArrayHeader(service.getValue().length);
			for (int items : service.getValue()) {
				out.packInt(items);
			}
		}
	}

	private static Map<String, int[]> readAdmitted(MessageUnpacker in) throws IOException {
		Map<String, int[]> admitted = new HashMap<>();
		for (int i = readMapSize(in); i > 0; i--) {
			String service = in.unpackString();
			int[] byRank = new int[readSize(in)];
			for (int rank = 0; rank < byRank.length; rank++) {
				byRank[rank] = in.unpackInt();
			}
			admitted.put(service, byRank);
		}
		return admitted;
	}

	private static List<StorePosition> readPositions(MessageUnpacker in) throws IOException {
		List<Long> offsets = readNumbers(in);
		List<Long> histories = (in.hasNext()) ? readNumbers(in) : List.of();
		List<StorePosition> positions = new ArrayList<>();
		for (int i = 0; i < offsets.size(); i++) {
			positions.add(new StorePosition((i < histories.size()) ? histories.get(i) : 0, offsets.get(i)));
		}
		return positions;
	}

	private static List<Long> readNumbers(MessageUnpacker in) throws IOException {
		List<Long> numbers = new ArrayList<>();
		for (int i = readSize(in); i > 0; i--) {
			numbers.add(in.unpackLong());
		}
		return numbers;
	}

	private static void writeRecords(MessageBufferPacker out, PeerMessage.Records message) throws IOException {
		StorePage page = message.page();
		out.packInt(message.topic().ordinal())
			.packLong(message.from())
			.packLong(page.nextOffset())
			.packBoolean(page.isComplete());
		out.packArrayHeader(page.records().size());
		for (KeyedRecord record : page.records()) {
			out.packString(record.key()).packLong(record.offset()).packBinaryHeader(record.value().length);
			out.writePayload(record.value());
		}
		// VMs with an older program skip it.
		out.packLong(page.history());
	}

	private static PeerMessage.Records readRecords(MessageUnpacker in) throws IOException {
		StoreTopic topic = readTopic(in);
		long from = in.unpackLong();
		long nextOffset = in.unpackLong();
		boolean complete = in.unpackBoolean();
		List<KeyedRecord> records = new ArrayList<>();
		for (int i = readSize(in); i > 0; i--) {
			String key = in.unpackString();
			long offset = in.unpackLong();
			records.add(new KeyedRecord(key, readValue(in), offset));
		}
		long history = (in.hasNext()) ? in.unpackLong() : 0;
		return new PeerMessage.Records(topic, from, new StorePage(history, records, nextOffset, complete));
	}

	private static byte[] readValue(MessageUnpacker in) throws IOException {
		int length = in.unpackBinaryHeader();
		if (length > PeerServer.MAX_FRAME_BYTES) {
			throw new IOException("a value is longer than a frame: " + length + " bytes");
		}
		return in.readPayload(length);
	}

	private static StoreTopic readTopic(MessageUnpacker in) throws IOException {
		int topic = in.unpackInt();
		if (topic < 0 || topic >= StoreTopic.values().length) {
			throw new IOException("unknown topic: " + topic);
		}
		return StoreTopic.values()[topic];
	}

	private static void writePrompt(MessageBufferPacker out, Prompt prompt) throws IOException {
		out.packInt(prompt.promptTokens()).packInt(prompt.maxOutputTokens()).packArrayHeader(prompt.parts().size());
		for (PromptPart part : prompt.parts()) {
			out.packString(part.id()).packInt(part.tokens());
		}
	}

	private static void writeWorkItem(MessageBufferPacker out, WorkItem item, long nowMs) throws IOException {
		out.packLong(item.itemId())
			.packString(item.attemptId())
			.packInt(item.stage())
			.packInt(item.index())
			.packString(item.inputKey());
		writeStrings(out, item.inputs());
		out.packString(item.inputDomain()).packInt(item.priority());
		out.packLong(item.dueAtMs() - nowMs).packLong(item.expiresAtMs() - nowMs).packLong(item.resultBytes());
	}

	private static void writeStrings(MessageBufferPacker out, Collection<String> strings) throws IOException {
		out.packArrayHeader(strings.size());
		for (String text : strings) {
			out.packString(text);
		}
	}

	/**
	 * Decodes a message.
	 * @param bytes the frame
	 * @param nowMs the current time in milliseconds
	 * @return the message
	 * @throws IOException if the type is unknown or the frame is malformed
	 */
	static PeerMessage decode(byte[] bytes, long nowMs) throws IOException {
		try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
			return read(in, nowMs);
		}
		catch (RuntimeException ex) {
			throw new IOException("malformed message", ex);
		}
	}

	private static PeerMessage read(MessageUnpacker in, long nowMs) throws IOException {
		return readType(in).read(in, nowMs);
	}

	private static Type readType(MessageUnpacker in) throws IOException {
		int type = in.unpackInt();
		if (type < 0 || type >= Type.values().length) {
			throw new IOException("unknown message type: " + type);
		}
		return Type.values()[type];
	}

	private static PeerMessage.Batch readBatch(MessageUnpacker in, long nowMs) throws IOException {
		List<PeerMessage> messages = new ArrayList<>();
		for (int i = readSize(in); i > 0; i--) {
			Type type = readType(in);
			// Checked before it is read: a frame may hold a million levels of batches.
			if (type == Type.BATCH) {
				throw new IOException("a batch inside a batch");
			}
			messages.add(type.read(in, nowMs));
		}
		return new PeerMessage.Batch(messages);
	}

	private static PeerMessage.Hello readHello(MessageUnpacker in) throws IOException {
		FleetMember sender = new FleetMember(in.unpackString(), in.unpackString(), in.unpackString(),
				in.unpackDouble());
		return new PeerMessage.Hello(FleetMember.checked(sender), in.unpackLong());
	}

	private static PeerMessage.Heartbeat readHeartbeat(MessageUnpacker in, long nowMs) throws IOException {
		PeerRelation relation = readRelation(in);
		boolean draining = in.unpackBoolean();
		boolean receiving = in.unpackBoolean();
		boolean storeReached = in.unpackBoolean();
		Map<String, EndpointLoad> loads = new HashMap<>();
		for (int i = readMapSize(in); i > 0; i--) {
			loads.put(in.unpackString(), new EndpointLoad(in.unpackInt(), in.unpackLong()));
		}
		Map<String, int[]> admitted = readAdmitted(in);
		Map<String, Map<String, Double>> available = new HashMap<>();
		for (int i = readMapSize(in); i > 0; i--) {
			available.put(in.unpackString(), readAvailable(in));
		}
		Set<EndpointProcess> leaving = readProcesses(in);
		Map<EndpointProcess, NamedLimit> limits = readLimits(in, nowMs);
		List<StorePosition> positions = readPositions(in);
		RolloutExchange rollouts = (in.hasNext()) ? RolloutCodec.read(in) : RolloutExchange.NONE;
		Map<EndpointProcess, Brittleness> brittle = (in.hasNext()) ? BrittleCodec.read(in, nowMs) : Map.of();
		return new PeerMessage.Heartbeat(relation, draining, receiving, storeReached,
				new LoadReport(loads, admitted, available, leaving, limits, rollouts, brittle), positions);
	}

	private static Map<EndpointProcess, NamedLimit> readLimits(MessageUnpacker in, long nowMs) throws IOException {
		Map<EndpointProcess, NamedLimit> limits = new HashMap<>();
		for (int i = readMapSize(in); i > 0; i--) {
			EndpointProcess process = new EndpointProcess(in.unpackString(), in.unpackLong());
			limits.put(process, new NamedLimit(in.unpackDouble(), nowMs + Math.min(0, in.unpackLong())));
		}
		return limits;
	}

	private static Set<EndpointProcess> readProcesses(MessageUnpacker in) throws IOException {
		Set<EndpointProcess> processes = new HashSet<>();
		for (int i = readSize(in); i > 0; i--) {
			processes.add(new EndpointProcess(in.unpackString(), in.unpackLong()));
		}
		return processes;
	}

	private static PeerRelation readRelation(MessageUnpacker in) throws IOException {
		int relation = in.unpackInt();
		if (relation < 0 || relation >= PeerRelation.values().length) {
			throw new IOException("unknown relation: " + relation);
		}
		return PeerRelation.values()[relation];
	}

	private static PeerMessage.LiveVms readLiveVms(MessageUnpacker in) throws IOException {
		List<FleetView.VmState> vms = new ArrayList<>();
		for (int i = readSize(in); i > 0; i--) {
			vms.add(new FleetView.VmState(in.unpackString(), in.unpackBoolean()));
		}
		return new PeerMessage.LiveVms(vms);
	}

	private static Prompt readPrompt(MessageUnpacker in) throws IOException {
		int promptTokens = in.unpackInt();
		int maxOutputTokens = in.unpackInt();
		List<PromptPart> parts = new ArrayList<>();
		for (int i = readSize(in); i > 0; i--) {
			parts.add(new PromptPart(in.unpackString(), in.unpackInt()));
		}
		return new Prompt(promptTokens, maxOutputTokens, parts);
	}

	private static PeerMessage.WorkItems readWorkItems(MessageUnpacker in, long nowMs) throws IOException {
		String service = in.unpackString();
		List<WorkItem> items = new ArrayList<>();
		for (int i = readSize(in); i > 0; i--) {
			items.add(new WorkItem(in.unpackLong(), in.unpackString(), in.unpackInt(), in.unpackInt(),
					in.unpackString(), readStrings(in), in.unpackString(), in.unpackInt(), nowMs + in.unpackLong(),
					nowMs + in.unpackLong(), in.unpackLong()));
		}
		return new PeerMessage.WorkItems(service, items);
	}

	private static PeerMessage.Outcomes readOutcomes(MessageUnpacker in) throws IOException {
		List<WorkItemOutcome> outcomes = new ArrayList<>();
		for (int i = readSize(in); i > 0; i--) {
			outcomes.add(new WorkItemOutcome(in.unpackLong(), readStatus(in), in.unpackString(), in.unpackString(), 0));
		}
		for (int i = 0; i < outcomes.size() && in.hasNext(); i++) {
			outcomes.set(i, outcomes.get(i).madeBy(in.unpackLong()));
		}
		return new PeerMessage.Outcomes(outcomes);
	}

	private static WorkItemOutcome.Status readStatus(MessageUnpacker in) throws IOException {
		WorkItemOutcome.Status[] statuses = WorkItemOutcome.Status.values();
		int ordinal = in.unpackInt();
		if (ordinal < 0 || ordinal >= statuses.length) {
			throw new IOException("unknown status: " + ordinal);
		}
		return statuses[ordinal];
	}

	private static List<PartVerdict> readVerdicts(MessageUnpacker in, long nowMs) throws IOException {
		List<PartVerdict> verdicts = new ArrayList<>();
		for (int i = readSize(in); i > 0; i--) {
			long sinceMs = nowMs + in.unpackLong();
			long untilMs = nowMs + in.unpackLong();
			verdicts.add(new PartVerdict(Set.copyOf(readStrings(in)), sinceMs, untilMs));
		}
		return verdicts;
	}

	private static List<String> readStrings(MessageUnpacker in) throws IOException {
		List<String> strings = new ArrayList<>();
		for (int i = readSize(in); i > 0; i--) {
			strings.add(in.unpackString());
		}
		return strings;
	}

	static int readMapSize(MessageUnpacker in) throws IOException {
		int size = in.unpackMapHeader();
		if (size > MAX_ENTRIES) {
			throw new IOException("map too long: " + size + " entries");
		}
		return size;
	}

	static int readSize(MessageUnpacker in) throws IOException {
		int size = in.unpackArrayHeader();
		if (size > MAX_ENTRIES) {
			throw new IOException("list too long: " + size + " entries");
		}
		return size;
	}

	/**
	 * The message types. The position of a constant is its number on the wire, so the
	 * order must not change.
	 */
	private enum Type {

		HELLO {
			@Override
			PeerMessage read(MessageUnpacker in, long nowMs) throws IOException {
				return readHello(in);
			}
		},

		HEARTBEAT {
			@Override
			PeerMessage read(MessageUnpacker in, long nowMs) throws IOException {
				return readHeartbeat(in, nowMs);
			}
		},

		PROMPT_SENT {
			@Override
			PeerMessage read(MessageUnpacker in, long nowMs) throws IOException {
				return new PeerMessage.PromptSent(in.unpackString(), readPrompt(in));
			}
		},

		WORK_ITEMS {
			@Override
			PeerMessage read(MessageUnpacker in, long nowMs) throws IOException {
				return readWorkItems(in, nowMs);
			}
		},

		OUTCOMES {
			@Override
			PeerMessage read(MessageUnpacker in, long nowMs) throws IOException {
				return readOutcomes(in);
			}
		},

		CANCELLATION {
			@Override
			PeerMessage read(MessageUnpacker in, long nowMs) throws IOException {
				return new PeerMessage.Cancellation(in.unpackLong());
			}
		},

		RELEASE {
			@Override
			PeerMessage read(MessageUnpacker in, long nowMs) throws IOException {
				String service = in.unpackString();
				boolean evictable = in.unpackBoolean();
				return new PeerMessage.Release(service, readStrings(in), evictable);
			}
		},

		CRASH_REPORT {
			@Override
			PeerMessage read(MessageUnpacker in, long nowMs) throws IOException {
				return new PeerMessage.CrashReport(in.unpackString(), in.unpackString());
			}
		},

		RECORDS_REQUEST {
			@Override
			PeerMessage read(MessageUnpacker in, long nowMs) throws IOException {
				return new PeerMessage.RecordsRequest(readTopic(in), in.unpackLong());
			}
		},

		RECORDS {
			@Override
			PeerMessage read(MessageUnpacker in, long nowMs) throws IOException {
				return readRecords(in);
			}
		},

		LIVE_VMS {
			@Override
			PeerMessage read(MessageUnpacker in, long nowMs) throws IOException {
				return readLiveVms(in);
			}
		},

		BATCH {
			@Override
			PeerMessage read(MessageUnpacker in, long nowMs) throws IOException {
				return readBatch(in, nowMs);
			}
		},

		PING {
			@Override
			PeerMessage read(MessageUnpacker in, long nowMs) throws IOException {
				return new PeerMessage.Ping(in.unpackBoolean(), in.unpackBoolean());
			}
		},

		PROMPT_PART_CRASH {
			@Override
			PeerMessage read(MessageUnpacker in, long nowMs) throws IOException {
				String process = in.unpackString();
				long atMs = nowMs + in.unpackLong();
				return new PeerMessage.PromptPartCrash(new PartCrash(process, atMs, Set.copyOf(readStrings(in))));
			}
		},

		PROMPT_PARTS_ANSWERED {
			@Override
			PeerMessage read(MessageUnpacker in, long nowMs) throws IOException {
				long atMs = nowMs + in.unpackLong();
				return new PeerMessage.PromptPartsAnswered(Set.copyOf(readStrings(in)), atMs);
			}
		},

		PROMPT_PART_VERDICTS {
			@Override
			PeerMessage read(MessageUnpacker in, long nowMs) throws IOException {
				return new PeerMessage.PromptPartVerdicts(readVerdicts(in, nowMs));
			}
		},

		STREAM_BEGUN {
			@Override
			PeerMessage read(MessageUnpacker in, long nowMs) throws IOException {
				return new PeerMessage.StreamBegun(
						new StreamOrigin(in.unpackString(), in.unpackString(), in.unpackString()));
			}
		},

		RELAY_REQUEST {
			@Override
			PeerMessage read(MessageUnpacker in, long nowMs) throws IOException {
				return new PeerMessage.RelayRequest(in.unpackString(), in.hasNext() && in.unpackBoolean());
			}
		};

		abstract PeerMessage read(MessageUnpacker in, long nowMs) throws IOException;

	}

}
