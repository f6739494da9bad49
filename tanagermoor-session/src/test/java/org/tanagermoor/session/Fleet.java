package org.tanagermoor.session;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.tanagermoor.cli.ExitCode;
import org.tanagermoor.cli.Tool;
import org.tanagermoor.cli.command.ToolContext;
import org.tanagermoor.http.Digests;
import org.tanagermoor.http.Json;
import org.tanagermoor.standin.link.ReservedAddress;

/** A fleet of separate processes: a stand-in platform, stand-in targets and instances. */
final class Fleet implements AutoCloseable {

    static final String MODEL = "order-assistant";

    private static final long PATIENCE_MILLIS = 60_000;

    private static final long PAUSE_MILLIS = 50;

    private final Map<String, StartedProcess> processes = new LinkedHashMap<>();

    private final Map<String, String> addresses = new HashMap<>();

    private final List<String> instances = new ArrayList<>();

    private final List<ReservedAddress> reserved = new ArrayList<>();

    private String key = "";

    /** Starts a stand-in platform. */
    Fleet platform() {
        start("platform", "org.tanagermoor.standin.platform.PlatformMain", List.of("--address", "127.0.0.1:0"));
        addresses.put("platform", processes.get("platform").awaitReady());
        return this;
    }

    /** Starts a stand-in target; more flags may follow. */
    Fleet target(String name, String... flags) {
        List<String> arguments = new ArrayList<>(List.of("--address", "127.0.0.1:0", "--model", MODEL));
        arguments.addAll(List.of(flags));
        start(name, "org.tanagermoor.standin.target.TargetMain", arguments);
        addresses.put(name, processes.get(name).awaitReady());
        return this;
    }

    /** Starts an instance without waiting for it; more flags may follow. */
    Fleet instance(String name, String domain, String... flags) {
        addresses.computeIfAbsent(name, ignored -> reservedAddress());
        String peer = addresses.computeIfAbsent(name + "/peer", ignored -> reservedAddress());
        List<String> arguments = new ArrayList<>(List.of(
                "--instance-name",
                name,
                "--failure-domain",
                domain,
                "--caller-address",
                address(name),
                "--peer-address",
                peer,
                "--operator-key-sha256",
                Digests.sha256("operator"),
                "--platform-address",
                addresses.containsKey("platform") ? reached("platform") : "embedded"));
        arguments.addAll(List.of(flags));
        start(name, "org.tanagermoor.kernel.daemon.Daemon", arguments);
        if (!instances.contains(name)) {
            instances.add(name);
        }
        return this;
    }

    /** Starts an instance that the others reach through a relay only; more flags may follow. */
    Fleet relayedInstance(String name, String domain, String... flags) {
        relay(name + "/link", addresses.computeIfAbsent(name + "/peer", ignored -> reservedAddress()));
        List<String> all = new ArrayList<>(List.of("--advertised-peer-address", address(name + "/link")));
        all.addAll(List.of(flags));
        return instance(name, domain, all.toArray(String[]::new));
    }

    /** Starts a relay that forwards to an address. */
    Fleet relay(String name, String forward) {
        start(name, "org.tanagermoor.standin.link.LinkMain", List.of("--forward-address", forward));
        String[] ready = processes.get(name).awaitReady().split(" control ");
        addresses.put(name, ready[0]);
        addresses.put(name + "/control", ready[1]);
        return this;
    }

    /** Starts a relay through which instances reach the platform or a target that is started. */
    Fleet relayTo(String name) {
        return relay(name + "/link", address(name));
    }

    /** The address at which a process is reached: that of the relay in front of it, if there is one. */
    String reached(String name) {
        return addresses.getOrDefault(name + "/link", address(name));
    }

    /** Waits until all instances are ready and have standing in one view. */
    Fleet awaitInstances() {
        instances.forEach(name -> process(name).awaitReady());
        instances.forEach(this::awaitStanding);
        return this;
    }

    /** Waits until an instance has standing in an accepted view of as many members as there are instances. */
    void awaitStanding(String name) {
        await(name + " sees " + instances.size() + " members with standing", () -> {
            JsonNode status = status(name);
            return status.path("standing").asText().equals("full")
                    && status.path("view_accepted").asBoolean()
                    && status.path("members").size() == instances.size();
        });
    }

    /** Starts a platform, and an instance and a target in each of three failure domains, that serve the team alder. */
    static Fleet serving(String rate, String... targetFlags) {
        Fleet fleet = new Fleet().platform();
        for (int index = 1; index <= 3; index++) {
            fleet.target("t" + index, targetFlags);
        }
        for (int index = 1; index <= 3; index++) {
            fleet.instance("e" + index, "d" + index);
        }
        return fleet.serve(rate);
    }

    /** Waits for three instances and lets them and the three targets serve the team alder. */
    Fleet serve(String rate) {
        awaitInstances();
        must("service put " + MODEL);
        for (int index = 1; index <= 3; index++) {
            must("target put t" + index + " --service " + MODEL + " --domain d" + index
                    + " --capacity 16 --cold-capacity 16 --address " + reached("t" + index));
        }
        must("team put alder --rate " + rate + " --burst " + rate);
        useKey(giveKey());
        until("submit online --model " + MODEL + " --max-tokens 1 begin", result -> result.code() == ExitCode.DONE);
        return this;
    }

    /** Gives a new key to the team alder. */
    String giveKey() {
        String out = must("key give alder").out();
        return out.substring("key: ".length(), out.indexOf('\n'));
    }

    String key() {
        return key;
    }

    StartedProcess process(String name) {
        return processes.get(name);
    }

    String address(String name) {
        return addresses.get(name);
    }

    void forget(String name) {
        instances.remove(name);
    }

    void remember(String name) {
        instances.add(name);
    }

    /** Uses a caller's key from now on. */
    void useKey(String value) {
        key = value;
    }

    /** The status of an instance, or an empty document where it does not answer. */
    JsonNode status(String name) {
        Result result = run("--instances " + address(name) + " --timeout-millis 2000 --json instance");
        return result.code() == ExitCode.DONE
                ? Json.read("status", result.out().getBytes(StandardCharsets.UTF_8))
                        .get()
                : Json.mapper().createObjectNode();
    }

    /** Runs the tool in this process; a word may hold spaces as underscores do not. */
    Result run(String line) {
        return run(List.of(line.split(" ")), "");
    }

    Result run(List<String> words, String input) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        List<String> all = instances.stream().map(this::address).toList();
        ExitCode code = Tool.run(
                words,
                new ToolContext(
                        StartedProcess.environment(String.join(",", all), key),
                        new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
                        new PrintStream(out, true, StandardCharsets.UTF_8),
                        new PrintStream(err, true, StandardCharsets.UTF_8)));
        return new Result(code, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
    }

    /** Runs the tool and fails unless it ends with {@link ExitCode#DONE}. */
    Result must(String line) {
        Result result = run(line);
        if (result.code() != ExitCode.DONE) {
            throw new IllegalStateException(line + ": " + result);
        }
        return result;
    }

    /** Repeats a command until its result is as wanted. */
    Result until(String line, Predicate<Result> wanted) {
        Result[] last = new Result[1];
        await(line, () -> {
            last[0] = run(line);
            return wanted.test(last[0]);
        });
        return last[0];
    }

    /** Waits until something holds. */
    void await(String what, BooleanSupplier condition) {
        long end = System.currentTimeMillis() + PATIENCE_MILLIS;
        while (!condition.getAsBoolean()) {
            if (System.currentTimeMillis() > end) {
                StringBuilder report = new StringBuilder("waited in vain for: " + what);
                processes.forEach((name, process) ->
                        report.append("\n--- ").append(name).append('\n').append(process.output()));
                throw new IllegalStateException(report.toString());
            }
            try {
                Thread.sleep(PAUSE_MILLIS);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
                throw new IllegalStateException(exception);
            }
        }
    }

    @Override
    public void close() {
        processes.values().forEach(StartedProcess::close);
        reserved.forEach(ReservedAddress::close);
    }

    private void start(String name, String mainClass, List<String> arguments) {
        StartedProcess before = processes.put(name, StartedProcess.start(name, mainClass, arguments));
        if (before != null) {
            before.close();
        }
    }

    private String reservedAddress() {
        ReservedAddress address = ReservedAddress.of();
        reserved.add(address);
        return address.address();
    }

    /** How a command ended. */
    record Result(ExitCode code, String out, String err) {}
}
