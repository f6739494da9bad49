package org.tanagermoor.membership;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.UUID;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.kernel.duty.Duty;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.plugin.Context;
import org.tanagermoor.kernel.plugin.Plugin;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.kernel.setting.Setting;
import org.tanagermoor.membership.gossip.Input;
import org.tanagermoor.membership.proto.MembershipRequest;
import org.tanagermoor.membership.store.ChangeStore;
import org.tanagermoor.policy.configuration.Change;
import org.tanagermoor.policy.configuration.Configuration;
import org.tanagermoor.policy.fleet.FailureDomain;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.Member;
import org.tanagermoor.policy.standing.Standing;
import org.tanagermoor.policy.standing.StandingState;
import org.tanagermoor.store.object.ObjectStore;
import org.tanagermoor.store.table.TableService;
import org.tanagermoor.wire.link.Channel;
import org.tanagermoor.wire.link.PeerLink;
import reactor.core.publisher.Mono;

/** The plug-in that keeps the membership of this instance. */
public final class MembershipPlugin implements Plugin, Membership {

    /** The name of this plug-in. */
    public static final String NAME = "membership";

    /** The failure domain of this instance. */
    public static final Setting<String> FAILURE_DOMAIN =
            Setting.ofText("failure-domain", "the failure domain in which this instance runs", null);

    /** The address for callers that the directory names. */
    public static final Setting<Address> CALLER_ADDRESS =
            Setting.ofAddress("caller-address", "the address for callers and operators, as ip:port", "127.0.0.1:8080");

    /** The address for other instances that the view names, or nothing for the one on which the link listens. */
    public static final Setting<Optional<Address>> ADVERTISED = new Setting<>(
            "advertised-peer-address",
            "the address at which other instances reach this one, as ip:port, or own for the one of peer-address",
            MembershipPlugin.OWN,
            MembershipPlugin::advertised);

    /** The freshness window. */
    public static final Setting<Duration> WINDOW = Setting.ofMillis(
            "freshness-window-millis",
            "the freshness window in milliseconds, the same on all instances",
            "2000",
            200,
            2_500);

    /** The time between two reads or pulls. */
    public static final Setting<Duration> INTERVAL = Setting.ofMillis(
            "gossip-interval-millis", "the time between two reads of the head or pulls from a peer", "400", 20, 500);

    /** The time after which a silent member is removed. */
    public static final Setting<Duration> SILENCE = Setting.ofMillis(
            "silence-millis", "the time after which a silent member is removed from the view", "3000", 200, 60_000);

    /** The text that stands for the address on which the link listens. */
    private static final String OWN = "own";

    /** The ticks of the duty in an interval. */
    private static final int TICKS_PER_INTERVAL = 6;

    /** The capacity of the ring of the duty in messages. */
    private static final int RING_CAPACITY = 8_192;

    /** The longest time for removing this instance from the view at a stop. */
    private static final Duration REMOVAL_TIMEOUT = Duration.ofMillis(1_500);

    /** What this instance has adopted, or {@code null} before the start. */
    @Nullable
    private LocalReplica replica;

    /** This instance, or {@code null} before the start. */
    @Nullable
    private Member self;

    /** Records changes, or {@code null} before the start. */
    @Nullable
    private Changes changes;

    /** The log of events, or {@code null} before the start. */
    @Nullable
    private EventLog events;

    /** The running duty, or {@code null} before the start. */
    @Nullable
    private volatile Duty<Input> duty;

    /** {@inheritDoc} */
    @Override
    public String name() {
        return NAME;
    }

    /** {@inheritDoc} */
    @Override
    public Set<String> requires() {
        return Set.of("platform", "wire");
    }

    /** {@inheritDoc} */
    @Override
    public List<Setting<?>> settings() {
        return List.of(FAILURE_DOMAIN, CALLER_ADDRESS, ADVERTISED, WINDOW, INTERVAL, SILENCE);
    }

    /** {@inheritDoc} */
    @Override
    public void start(Context context) {
        InstanceId id = context.service(InstanceId.class);
        PeerLink link = context.service(PeerLink.class);
        Timing timing = new Timing(
                context.settings().value(WINDOW).toNanos(),
                context.settings().value(INTERVAL).toNanos(),
                context.settings().value(SILENCE).toNanos());
        Member member = Member.of(
                id,
                FailureDomain.of(context.settings().value(FAILURE_DOMAIN)),
                context.settings().value(ADVERTISED).orElseGet(link::address),
                context.settings().value(CALLER_ADDRESS));
        ChangeStore store = ChangeStore.of(context.service(TableService.class), context.service(ObjectStore.class));
        LocalReplica adopted = new LocalReplica(context.events(), StandingState.of(id, timing.window()));
        Committer committer = new Committer(store, () -> adopted.published().ledger(), this::offer);
        long now = context.time().nanos();
        MembershipDuty work =
                new MembershipDuty(member, store, link, adopted, committer, timing, context.events(), this::offer, now);
        events = context.events();
        self = member;
        replica = adopted;
        changes = committer;
        duty = Duty.start(
                "membership", RING_CAPACITY, timing.interval() / TICKS_PER_INTERVAL, context.time(), events, work);
        link.handle(Channel.MEMBERSHIP, this::handle);
        context.register(Membership.class, this);
        context.register(Changes.class, committer);
    }

    /** {@inheritDoc} */
    @Override
    public void drain() {
        leave();
    }

    /** {@inheritDoc} */
    @Override
    public void stop() {
        Duty<Input> running = duty;
        if (running == null) {
            return;
        }
        running.offer(new Input.Leaving(true));
        if (configuration().view().member(self().id()).isPresent()) {
            changes()
                    .record(
                            new Change.RemoveMember(self().id()),
                            UUID.randomUUID().toString(),
                            OptionalLong.empty())
                    .flatMap(result ->
                            result.isRight() ? changes().accepted(result.get(), REMOVAL_TIMEOUT) : Mono.just(false))
                    .timeout(REMOVAL_TIMEOUT, Mono.just(false))
                    .block();
        }
        running.close();
        duty = null;
    }

    /** {@inheritDoc} */
    @Override
    public Member self() {
        return started(self);
    }

    /** {@inheritDoc} */
    @Override
    public Standing standing(long now) {
        return started(replica).published().standing().standing(now);
    }

    /** {@inheritDoc} */
    @Override
    public Configuration configuration() {
        return started(replica).published().ledger().configuration();
    }

    /** {@inheritDoc} */
    @Override
    public boolean viewAccepted(long now) {
        return started(replica).published().ledger().chain().settled();
    }

    /** {@inheritDoc} */
    @Override
    public boolean seenRecently(InstanceId id, long now) {
        StandingState standing = started(replica).published().standing();
        return standing.answeredWithinWindow(id, now)
                || (standing.standing(now) == Standing.FULL
                        && standing.view().member(id).isPresent()
                        && !started(replica).isSilent(id));
    }

    /** {@inheritDoc} */
    @Override
    public void onAdopted(Consumer<Configuration> listener) {
        offer(new Input.Listening(listener));
    }

    /** {@inheritDoc} */
    @Override
    public void leave() {
        offer(new Input.Leaving(false));
    }

    /**
     * Returns what records changes.
     *
     * @return What records changes.
     */
    Changes changes() {
        return started(changes);
    }

    /**
     * Handles a request of a peer.
     *
     * @param from The identity of the peer.
     * @param bytes The request.
     * @return The answer or a failure.
     */
    private Mono<Either<Failure, byte[]>> handle(InstanceId from, byte[] bytes) {
        MembershipRequest request;
        try {
            request = MembershipRequest.parseFrom(bytes);
        } catch (InvalidProtocolBufferException exception) {
            started(events).record(MembershipEvent.MALFORMED, "from", from);
            return Mono.just(Either.left(failure(Failure.Kind.INVALID, "the request is malformed")));
        }
        return Mono.create(sink -> {
            if (!offer(new Input.Asked(from, request, sink))) {
                sink.success(Either.left(failure(Failure.Kind.OVERLOADED, "the membership duty is busy or stopped")));
            }
        });
    }

    /**
     * Tells the duty.
     *
     * @param input What it is told.
     * @return Whether it will be handled.
     */
    private boolean offer(Input input) {
        Duty<Input> running = duty;
        return running != null && running.offer(input);
    }

    /**
     * Returns a failure of a request that was not handled.
     *
     * @param kind The kind.
     * @param detail What is wrong.
     * @return The failure.
     */
    private Failure failure(Failure.Kind kind, String detail) {
        return Failure.notRun(kind, "membership.handle", self().id().toString(), detail);
    }

    /**
     * Returns something that the start sets.
     *
     * @param <T> The type.
     * @param value The value, or {@code null} before the start.
     * @return The value.
     * @throws IllegalStateException If the plug-in is not started.
     */
    private static <T> T started(@Nullable T value) {
        if (value == null) {
            throw new IllegalStateException("The plug-in is not started: " + NAME);
        }
        return value;
    }

    /**
     * Reads an advertised address.
     *
     * @param text The text.
     * @return The address, nothing for the one on which the link listens, or what is wrong with the text.
     */
    private static Either<String, Optional<Address>> advertised(String text) {
        return text.equals(OWN)
                ? Either.right(Optional.empty())
                : Address.parse(text).map(Optional::of);
    }
}
