package org.tanagermoor.gateway.member;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.tanagermoor.gateway.GatewayEvent;
import org.tanagermoor.gateway.duty.Duties;
import org.tanagermoor.gateway.follow.ChangeFeed;
import org.tanagermoor.gateway.follow.TableFollower;
import org.tanagermoor.gateway.proto.Signs;
import org.tanagermoor.gateway.proto.TableCopy;
import org.tanagermoor.gateway.proto.TableMark;
import org.tanagermoor.gateway.proto.TablePull;
import org.tanagermoor.gateway.proto.TableRow;
import org.tanagermoor.gateway.quarantine.PartQuarantine;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.wire.link.Channel;
import org.tanagermoor.wire.link.PeerLink;
import reactor.core.publisher.Mono;

/**
 * Exchanges heartbeats with some instances in turn, and pulls followed tables of which another instance has a newer
 * copy, so that an instance that cannot reach the store learns what the others know. Confined to the event loop.
 */
public final class Gossip {

    /**
     * The interval between two exchanges in milliseconds: a heartbeat reaches 90 instances within four or five
     * exchanges.
     */
    private static final long INTERVAL_MILLIS = 600;

    /** The number of exchanges after which a silent instance, or an address from the settings, is tried. */
    private static final int SILENT_ROUNDS = 4;

    /**
     * The number of exchanges after which one with a random instance is added, so that groups of instances whose views
     * of the fleet differ do not stay apart.
     */
    static final int RANDOM_ROUNDS = 16;

    /**
     * The maximum number of instances that are probed at once: in a fleet of 90, heartbeats reach all within two such
     * rounds.
     */
    private static final int MAX_PROBES = 8;

    /** The timeout of an exchange or a pull. */
    private static final Duration TIMEOUT = Duration.ofMillis(700);

    /** How long a pull is delayed so that the store can deliver the change first, in milliseconds. */
    private static final long PULL_DELAY_MILLIS = 100;

    private final EventLoop loop;

    private final PeerLink link;

    /** Tells which instances run; updated with the heartbeats received. */
    private final Liveness liveness;

    /** The followed tables by name. */
    private final Map<String, TableFollower> tables = new HashMap<>();

    /** The addresses from the settings, which may be outdated. */
    private final List<Address> seeds;

    /** The parts of prompts that are held back, passed on with the heartbeats. */
    private final PartQuarantine quarantine;

    private final EventLog events;

    private final TimeSource time;

    /** The instances that served when changes were last recorded. */
    private Set<InstanceId> lastServing = new HashSet<>();

    /** Whether the last heartbeats received named an incarnation that this instance does not know. */
    private boolean incomplete;

    /** The running instances from which the partners were derived. */
    private Collection<Instance> ringMembers = List.of();

    private List<Instance> partners = List.of();

    /** The number of exchanges so far. */
    private int rounds;

    private Gossip(
            EventLoop loop,
            PeerLink link,
            Liveness liveness,
            List<TableFollower> followers,
            List<Address> seeds,
            PartQuarantine quarantine,
            EventLog events,
            TimeSource time) {
        this.loop = loop;
        this.link = link;
        this.liveness = liveness;
        this.seeds = seeds;
        this.quarantine = quarantine;
        this.events = events;
        this.time = time;
        followers.forEach(follower -> tables.put(follower.table().name(), follower));
    }

    /**
     * Returns a gossip that answers other instances, and starts exchanges itself once it is started.
     *
     * @param loop The event loop.
     * @param link The link to other instances.
     * @param liveness Tells which instances run; updated with the heartbeats received.
     * @param followers The followed tables.
     * @param seeds The addresses from the settings, which may be outdated.
     * @param quarantine The parts of prompts that are held back, passed on with the heartbeats.
     * @param events The log.
     * @param time The source of the current time.
     * @return A gossip.
     */
    public static Gossip of(
            EventLoop loop,
            PeerLink link,
            Liveness liveness,
            List<TableFollower> followers,
            List<Address> seeds,
            PartQuarantine quarantine,
            EventLog events,
            TimeSource time) {
        Gossip gossip = new Gossip(loop, link, liveness, followers, seeds, quarantine, events, time);
        link.handle(Channel.SIGNS, (from, request) -> gossip.onLoop(() -> gossip.answerHeartbeats(request)));
        link.handle(Channel.TABLES, (from, request) -> gossip.onLoop(() -> gossip.answerPull(request)));
        return gossip;
    }

    /**
     * Starts the periodic exchanges, the first ones with the addresses from the settings.
     *
     * @param duties Runs the exchanges so that an error does not end them.
     */
    public void start(Duties duties) {
        loop.execute(() -> seeds.forEach(this::exchange));
        duties.every("gossip", ThreadLocalRandom.current().nextLong(INTERVAL_MILLIS), INTERVAL_MILLIS, this::round);
    }

    /** Sends what this instance knows to all running instances at once, for example that it is stopping. */
    public void broadcast() {
        liveness.running(time.nanos()).forEach(instance -> exchange(instance.peer()));
    }

    /**
     * Exchanges heartbeats at once with some instances that may run, so that the instances of a restarted fleet
     * discover each other quickly.
     */
    public void probe() {
        List<Address> others = silentAddresses(List.of());
        Collections.shuffle(others, ThreadLocalRandom.current());
        others.stream().limit(MAX_PROBES).forEach(this::exchange);
    }

    /** Returns the addresses of instances that may run but are silent, and the addresses from the settings. */
    private List<Address> silentAddresses(List<Address> running) {
        List<Address> others = new ArrayList<>(
                liveness.silent(time.nanos()).stream().map(Instance::peer).toList());
        seeds.stream()
                .filter(seed ->
                        !running.contains(seed) && !seed.equals(liveness.self().peer()))
                .forEach(others::add);
        return others;
    }

    /** Exchanges heartbeats with the next partner, and regularly with a silent instance. */
    private void round() {
        long now = time.nanos();
        rounds++;
        recordChanges(now);
        Collection<Instance> running = liveness.running(now);
        if (running != ringMembers) {
            ringMembers = running;
            partners = ExchangePartners.of(liveness.self().id(), running);
        }
        ExchangePartners.next(partners, rounds).ifPresent(partner -> exchange(partner.peer()));
        if (rounds % RANDOM_ROUNDS == 0) {
            exchangeWithRandom(addresses(running));
        }
        if (rounds % SILENT_ROUNDS == 0 || running.isEmpty()) {
            exchangeWithRandom(silentAddresses(addresses(running)));
        }
    }

    private static List<Address> addresses(Collection<Instance> instances) {
        return instances.stream().map(Instance::peer).toList();
    }

    /** Exchanges heartbeats with a random one of the addresses, if there are any. */
    private void exchangeWithRandom(List<Address> addresses) {
        if (!addresses.isEmpty()) {
            exchange(addresses.get(ThreadLocalRandom.current().nextInt(addresses.size())));
        }
    }

    /** Records which instances have started or ceased to serve since the last call. */
    private void recordChanges(long now) {
        Set<InstanceId> nowServing = new HashSet<>();
        liveness.serving(now).forEach(instance -> nowServing.add(instance.id()));
        for (InstanceId id : nowServing) {
            if (!lastServing.contains(id)) {
                events.record(GatewayEvent.MEMBER_CHANGED, "instance", id, "state", "serving");
            }
        }
        for (InstanceId id : lastServing) {
            if (!nowServing.contains(id)) {
                events.record(GatewayEvent.MEMBER_CHANGED, "instance", id, "state", "gone");
            }
        }
        lastServing = nowServing;
    }

    /** Exchanges heartbeats with the instance at an address, unless it is this one. */
    private void exchange(Address address) {
        if (address.equals(liveness.self().peer())) {
            return;
        }
        byte[] message = heartbeats(false).toByteArray();
        link.call(address, PeerLink.ANY_INCARNATION, Channel.SIGNS, message, TIMEOUT)
                .subscribe(result -> loop.execute(() -> {
                    if (result.isRight()) {
                        handleAnswer(address, result.get());
                    } else {
                        events.record(GatewayEvent.PEER_FAILED, "peer", address, "failure", result.getLeft());
                    }
                }));
    }

    /**
     * Returns what this instance knows, abbreviated to incarnations and ages for instances that others already know
     * unless a full message is wanted.
     */
    private Signs heartbeats(boolean full) {
        Signs.Builder heartbeats = Signs.newBuilder().setIncomplete(incomplete);
        for (Liveness.Heartbeat heartbeat : liveness.heartbeats(time.nanos())) {
            if (full || heartbeat.recentlyChanged()) {
                heartbeats.addMembers(MemberCodec.toMessage(heartbeat));
            } else {
                heartbeats.addIncarnations(heartbeat.instance().id().incarnation());
                heartbeats.addAgesMillis((int) TimeUnit.NANOSECONDS.toMillis(heartbeat.ageNanos()));
            }
        }
        tables.forEach((name, follower) -> heartbeats.addTables(TableMark.newBuilder()
                .setTable(name)
                .setRevision(follower.table().revision())));
        return heartbeats.addAllParts(quarantine.messages()).build();
    }

    /** Answers the heartbeats of another instance with those of this one. */
    private Either<Failure, byte[]> answerHeartbeats(byte[] request) {
        Signs heartbeats = parse(request);
        byte[] answer = heartbeats(heartbeats.getIncomplete()).toByteArray();
        observe(heartbeats);
        if (heartbeats.getMembersCount() > 0) {
            MemberCodec.fromMessage(heartbeats.getMembers(0))
                    .ifPresent(heartbeat -> compare(heartbeat.instance().peer(), heartbeats));
        }
        return Either.right(answer);
    }

    /** Handles the heartbeats with which another instance answered. */
    private void handleAnswer(Address address, byte[] answer) {
        Signs heartbeats = parse(answer);
        observe(heartbeats);
        compare(address, heartbeats);
    }

    /** Passes heartbeats to {@link Liveness}, and notes whether any names an unknown incarnation. */
    private void observe(Signs heartbeats) {
        long now = time.nanos();
        quarantine.merge(heartbeats.getPartsList());
        heartbeats
                .getMembersList()
                .forEach(message ->
                        MemberCodec.fromMessage(message).ifPresent(heartbeat -> liveness.observe(heartbeat, now)));
        boolean complete = true;
        int entries = Math.min(heartbeats.getIncarnationsCount(), heartbeats.getAgesMillisCount());
        for (int index = 0; index < entries; index++) {
            long age = TimeUnit.MILLISECONDS.toNanos(Integer.toUnsignedLong(heartbeats.getAgesMillis(index)));
            complete &= liveness.observe(heartbeats.getIncarnations(index), age, now);
        }
        if (entries > 0 || heartbeats.getMembersCount() > 1) {
            incomplete = !complete;
        }
    }

    /** Pulls the tables of which another instance has a newer copy, unless the store delivers the changes first. */
    private void compare(Address peer, Signs heartbeats) {
        for (TableMark mark : heartbeats.getTablesList()) {
            TableFollower follower = tables.get(mark.getTable());
            if (follower != null && follower.table().revision() < mark.getRevision()) {
                loop.schedule(
                        () -> {
                            if (follower.table().revision() < mark.getRevision()
                                    && (follower.storeUnavailable()
                                            || follower.table().revision() == 0)) {
                                pull(peer, follower);
                            }
                        },
                        PULL_DELAY_MILLIS,
                        TimeUnit.MILLISECONDS);
            }
        }
    }

    /** Pulls a table from another instance. */
    private void pull(Address peer, TableFollower follower) {
        byte[] message = TablePull.newBuilder()
                .setTable(follower.table().name())
                .setRevision(follower.table().revision())
                .build()
                .toByteArray();
        link.call(peer, PeerLink.ANY_INCARNATION, Channel.TABLES, message, TIMEOUT)
                .subscribe(result -> loop.execute(() -> {
                    if (result.isLeft()) {
                        events.record(GatewayEvent.PEER_FAILED, "peer", peer, "failure", result.getLeft());
                        return;
                    }
                    adopt(peer, follower, result.get());
                }));
    }

    /** Replaces a table by the copy of another instance. */
    private void adopt(Address peer, TableFollower follower, byte[] answer) {
        try {
            TableCopy copy = TableCopy.parseFrom(answer);
            List<ChangeFeed.Change> rows = new ArrayList<>();
            copy.getRowsList()
                    .forEach(row -> rows.add(new ChangeFeed.Change(
                            row.getKey(), row.getVersion(), row.getValue().toByteArray())));
            follower.adopt(rows, copy.getRevision(), peer.toString());
        } catch (InvalidProtocolBufferException exception) {
            events.record(GatewayEvent.PEER_FAILED, "peer", peer, "failure", exception);
        }
    }

    /** Answers a pull with a copy of the table, which has no rows if this instance has nothing newer. */
    private Either<Failure, byte[]> answerPull(byte[] request) {
        try {
            TablePull pull = TablePull.parseFrom(request);
            TableFollower follower = tables.get(pull.getTable());
            TableCopy.Builder copy = TableCopy.newBuilder().setTable(pull.getTable());
            if (follower != null && follower.table().revision() > pull.getRevision()) {
                copy.setRevision(follower.table().revision());
                for (ChangeFeed.Change row : follower.table().rows()) {
                    byte[] value = row.value();
                    if (value != null) {
                        copy.addRows(TableRow.newBuilder()
                                .setKey(row.key())
                                .setVersion(row.version())
                                .setValue(ByteString.copyFrom(value)));
                    }
                }
            }
            return Either.right(copy.build().toByteArray());
        } catch (InvalidProtocolBufferException exception) {
            return Either.left(Failure.notRun(
                    Failure.Kind.INVALID, "gossip.pull", Failure.LOCAL, String.valueOf(exception.getMessage())));
        }
    }

    /** Parses heartbeats; a malformed message counts as an empty one. */
    private Signs parse(byte[] bytes) {
        try {
            return Signs.parseFrom(bytes);
        } catch (InvalidProtocolBufferException exception) {
            events.record(GatewayEvent.PEER_FAILED, "peer", "", "failure", exception);
            return Signs.getDefaultInstance();
        }
    }

    /** Computes an answer on the event loop. */
    private Mono<Either<Failure, byte[]>> onLoop(java.util.function.Supplier<Either<Failure, byte[]>> answer) {
        return Mono.create(sink -> loop.execute(() -> sink.success(answer.get())));
    }
}
