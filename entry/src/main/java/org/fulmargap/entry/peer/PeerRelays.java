package org.fulmargap.entry.peer;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.util.concurrent.Future;
import org.fulmargap.entry.EventLog;
import org.fulmargap.entry.endpoint.EndpointRelays;
import org.fulmargap.fleet.FleetMember;

/**
 * Opens connections to endpoints through other entry VMs. Confined to the event loop.
 */
public final class PeerRelays implements EndpointRelays {

	private static final int CONNECT_TIMEOUT_MS = 250;

	/**
	 * How long another VM may take to connect to the endpoint, in milliseconds: its own
	 * connect timeout, and a check whether it is cut off itself.
	 */
	private static final long ANSWER_TIMEOUT_MS = 700;

	/** A VM that could not help is not asked again for this time, in milliseconds. */
	private static final long UNAVAILABLE_MS = 1_000;

	/** The number of VMs that are asked for one connection. */
	private static final int MAX_TRIES = 3;

	private final PeerNetwork peers;

	private final EventLoop loop;

	private final LongSupplier clockMs;

	private final Set<String> regionDomains;

	private final Map<String, Long> unavailableUntilMs = new HashMap<>();

	private final Random random;

	/**
	 * Creates an instance.
	 * @param peers the other VMs
	 * @param loop the event loop
	 * @param clockMs the current time in milliseconds
	 * @param regionDomains the failure domains whose VMs may relay, because requests may
	 * not leave the region; empty for all
	 */
	public PeerRelays(PeerNetwork peers, EventLoop loop, LongSupplier clockMs, Set<String> regionDomains) {
		this.peers = peers;
		this.loop = loop;
		this.clockMs = clockMs;
		this.regionDomains = Set.copyOf(regionDomains);
		this.random = new Random(peers.ownName().hashCode());
	}

	@Override
	public boolean isAvailable(long nowMs) {
		return this.peers.reachable().stream().anyMatch((member) -> mayRelay(member, nowMs));
	}

	@Override
	public boolean isUsable(String relay) {
		long nowMs = this.clockMs.getAsLong();
		return this.peers.reachable()
			.stream()
			.anyMatch((member) -> member.name().equals(relay) && mayRelay(member, nowMs));
	}

	private boolean mayRelay(FleetMember member, long nowMs) {
		return (this.regionDomains.isEmpty() || this.regionDomains.contains(member.failureDomain()))
				&& nowMs >= this.unavailableUntilMs.getOrDefault(member.name(), Long.MIN_VALUE);
	}

	@Override
	public void open(String address, String failureDomain, Listener listener) {
		new Attempt(address, candidates(failureDomain), listener).next();
	}

	// Those with which the connection crosses no more failure domains than a direct one
	// come first.
	private Deque<FleetMember> candidates(String failureDomain) {
		long nowMs = this.clockMs.getAsLong();
		Set<String> nearDomains = new HashSet<>(List.of(failureDomain, this.peers.ownDomain()));
		List<FleetMember> candidates = new ArrayList<>(
				this.peers.reachable().stream().filter((member) -> mayRelay(member, nowMs)).toList());
		Collections.shuffle(candidates, this.random);
		candidates.sort(Comparator.comparing((member) -> !nearDomains.contains(member.failureDomain())));
		return new ArrayDeque<>(candidates);
	}

	private void leaveOut(FleetMember member, String reason) {
		this.unavailableUntilMs.put(member.name(), this.clockMs.getAsLong() + UNAVAILABLE_MS);
		EventLog.state("relay_unavailable").with("relay", member.name()).with("reason", reason).write();
	}

	/**
	 * The search for a VM that opens one connection.
	 */
	private final class Attempt {

		private final String address;

		private final Deque<FleetMember> candidates;

		private final Listener listener;

		private int tries;

		private Attempt(String address, Deque<FleetMember> candidates, Listener listener) {
			this.address = address;
			this.candidates = candidates;
			this.listener = listener;
		}

		private void next() {
			FleetMember member = this.candidates.poll();
			if (member == null || this.tries == MAX_TRIES) {
				this.listener.unavailable();
				return;
			}
			this.tries++;
			new Request(this, member).connect();
		}

	}

	/**
	 * The request to one VM.
	 */
	private final class Request extends SimpleChannelInboundHandler<ByteBuf> {

		private final Attempt attempt;

		private final FleetMember member;

		private Future<?> timeout;

		private boolean done;

		private Request(Attempt attempt, FleetMember member) {
			this.attempt = attempt;
			this.member = member;
		}

		private void connect() {
			new Bootstrap().group(PeerRelays.this.loop)
				.channel(NioSocketChannel.class)
				.option(ChannelOption.TCP_NODELAY, true)
				.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
				.option(ChannelOption.ALLOW_HALF_CLOSURE, true)
				.handler(new ChannelInitializer<Channel>() {
					@Override
					protected void initChannel(Channel opened) {
						opened.pipeline()
							.addLast(new LengthFieldBasedFrameDecoder(Byte.MAX_VALUE, 0, PeerNetwork.LENGTH_BYTES, 0,
									PeerNetwork.LENGTH_BYTES), Request.this);
					}
				})
				.connect(PeerNetwork.socketAddress(this.member.address()))
				.addListener((connected) -> {
					if (!connected.isSuccess()) {
						unavailable(null, "not_connected");
					}
				});
		}

		@Override
		public void channelActive(ChannelHandlerContext context) {
			byte[] request = PeerCodec.encode(new PeerMessage.RelayRequest(this.attempt.address, true),
					PeerRelays.this.clockMs.getAsLong());
			context.writeAndFlush(Unpooled.buffer(PeerNetwork.LENGTH_BYTES + request.length)
				.writeInt(request.length)
				.writeBytes(request));
			this.timeout = PeerRelays.this.loop.schedule(() -> unavailable(context.channel(), "no_answer"),
					ANSWER_TIMEOUT_MS, TimeUnit.MILLISECONDS);
		}

		@Override
		protected void channelRead0(ChannelHandlerContext context, ByteBuf content) {
			if (this.done) {
				return;
			}
			RelayOutcome outcome = RelayOutcome.read(content).orElse(RelayOutcome.UNAVAILABLE);
			if (outcome == RelayOutcome.UNAVAILABLE) {
				unavailable(context.channel(), "refused");
				return;
			}
			this.done = true;
			this.timeout.cancel(false);
			if (outcome == RelayOutcome.NOT_CONNECTED) {
				context.close();
				this.attempt.listener.failed();
				return;
			}
			// The handlers of the content are added before bytes that have already
			// arrived leave the decoder of frames.
			RelayedOutput.add(context.channel(), outcome);
			this.attempt.listener.opened(context.channel(), this.member.name());
			context.pipeline().remove(this);
			context.pipeline().remove(LengthFieldBasedFrameDecoder.class);
		}

		private void unavailable(Channel channel, String reason) {
			if (this.done) {
				return;
			}
			this.done = true;
			if (this.timeout != null) {
				this.timeout.cancel(false);
			}
			if (channel != null) {
				channel.close();
			}
			leaveOut(this.member, reason);
			this.attempt.next();
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			unavailable(context.channel(), "closed");
			context.fireChannelInactive();
		}

		@Override
		public void userEventTriggered(ChannelHandlerContext context, Object event) {
			unavailable(context.channel(), "closed");
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			unavailable(context.channel(), "broken");
		}

	}

}
