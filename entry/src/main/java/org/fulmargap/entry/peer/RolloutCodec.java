package org.fulmargap.entry.peer;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

import org.fulmargap.fleet.RolloutExchange;
import org.fulmargap.rollout.AnswerCounts;
import org.fulmargap.rollout.RolloutPhase;
import org.fulmargap.rollout.RolloutReport;
import org.fulmargap.rollout.RolloutState;
import org.fulmargap.rollout.RolloutStep;
import org.fulmargap.rollout.RouteCounts;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes what VMs tell each other about rollouts, one of the last fields of a heartbeat.
 */
final class RolloutCodec {

	private RolloutCodec() {
	}

	static void write(MessageBufferPacker out, RolloutExchange rollouts) throws IOException {
		out.packMapHeader(rollouts.reports().size());
		for (Map.Entry<String, RolloutReport> entry : rollouts.reports().entrySet()) {
			RolloutReport report = entry.getValue();
			out.packString(entry.getKey()).packLong(report.orderId()).packLong(report.requests());
			out.packLong(report.updatedRequests()).packInt(report.oldInFlight());
			out.packInt(report.seenStep()).packInt(report.vms()).packMapHeader(report.routes().size());
			for (Map.Entry<String, RouteCounts> route : report.routes().entrySet()) {
				out.packString(route.getKey());
				writeCounts(out, route.getValue().old());
				out.packMapHeader(route.getValue().updatedByEndpoint().size());
				for (Map.Entry<String, AnswerCounts> counts : route.getValue().updatedByEndpoint().entrySet()) {
					out.packString(counts.getKey());
					writeCounts(out, counts.getValue());
				}
			}
		}
		out.packMapHeader(rollouts.steps().size());
		for (Map.Entry<String, RolloutStep> entry : rollouts.steps().entrySet()) {
			RolloutStep step = entry.getValue();
			out.packString(entry.getKey()).packLong(step.orderId()).packInt(step.number());
			out.packInt(step.phase().ordinal()).packDouble(step.share()).packInt(step.state().ordinal());
		}
	}

	private static void writeCounts(MessageBufferPacker out, AnswerCounts counts) throws IOException {
		out.packLong(counts.answered()).packLong(counts.failed()).packLong(counts.slow());
	}

	static RolloutExchange read(MessageUnpacker in) throws IOException {
		Map<String, RolloutReport> reports = new HashMap<>();
		for (int i = PeerCodec.readMapSize(in); i > 0; i--) {
			reports.put(in.unpackString(), readReport(in));
		}
		Map<String, RolloutStep> steps = new HashMap<>();
		for (int i = PeerCodec.readMapSize(in); i > 0; i--) {
			steps.put(in.unpackString(),
					new RolloutStep(in.unpackLong(), in.unpackInt(), readConstant(in, RolloutPhase.values()),
							in.unpackDouble(), readConstant(in, RolloutState.values())));
		}
		return new RolloutExchange(reports, steps);
	}

	private static RolloutReport readReport(MessageUnpacker in) throws IOException {
		long orderId = in.unpackLong();
		long requests = in.unpackLong();
		long updatedRequests = in.unpackLong();
		int oldInFlight = in.unpackInt();
		int seenStep = in.unpackInt();
		int vms = in.unpackInt();
		Map<String, RouteCounts> routes = new HashMap<>();
		for (int i = PeerCodec.readMapSize(in); i > 0; i--) {
			String route = in.unpackString();
			AnswerCounts old = readCounts(in);
			Map<String, AnswerCounts> updated = new HashMap<>();
			for (int j = PeerCodec.readMapSize(in); j > 0; j--) {
				updated.put(in.unpackString(), readCounts(in));
			}
			routes.put(route, new RouteCounts(old, updated));
		}
		return new RolloutReport(orderId, requests, updatedRequests, routes, oldInFlight, seenStep, vms);
	}

	private static AnswerCounts readCounts(MessageUnpacker in) throws IOException {
		return new AnswerCounts(in.unpackLong(), in.unpackLong(), in.unpackLong());
	}

	private static <T> T readConstant(MessageUnpacker in, T[] constants) throws IOException {
		int ordinal = in.unpackInt();
		if (ordinal < 0 || ordinal >= constants.length) {
			throw new IOException("unknown constant: " + ordinal);
		}
		return constants[ordinal];
	}

}
