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
import org.tanagermoor.standin.process.StartedProcess;

/** Starts and controls a stand-in platform, stand-in targets, relays and instances, each in a separate process. */
final class Fleet implements AutoCloseable {

    static final String MODEL = "order-assistant";

    private static final long TIMEOUT_MILLIS = 60_000;

    private static final long POLL_INTERVAL_MILLIS = 50;

    private final Map<String, StartedProcess> processes = new LinkedHashMap<>();

    private final Map<String, String> addresses = new HashMap<>();

    private final List<String> instances = new ArrayList<>();

    private final List<ReservedAddress> reservedAddresses = new ArrayList<>();

    private String key = "";

    /** Starts a stand-in platform and waits until it is ready. */
    Fleet platform() {
        start("platform", "org.tanagermoor.standin.platform.PlatformMain", List.of("--address", "127.0.0.1:0"));
        addresses.put("platform", processes.get("platform").awaitReady());
        return this;
    }

    /** Starts a stand-in target with the additional flags and waits until it is ready. */
    Fleet target(String name, String... flags) {
        List<String> arguments = new ArrayList<>(List.of("--address", "127.0.0.1:0", "--model", MODEL));
        arguments.addAll(List.of(flags));
        start(name, "org.tanagermoor.standin.target.TargetMain", arguments);
        addresses.put(name, processes.get(name).awaitReady());
        return this;
    }

    /** Starts an instance with the additional flags; does not wait until it is ready. */
    Fleet instance(String name, String domain, String... flags) {
        addresses.computeIfAbsent(name, ignored -> reserveAddress());
        String peer = addresses.computeIfAbsent(name + "/peer", ignored -> reserveAddress());
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
                addresses.containsKey("platform") ? reachableAddress("platform") : "embedded"));
        arguments.addAll(List.of(flags));
        start(name, "org.tanagermoor.kernel.daemon.Daemon", arguments);
        if (!instances.contains(name)) {
            instances.add(name);
        }
        return this;
    }

    /** Starts an instance with the additional flags, which other instances can reach only through a relay. */
    Fleet relayedInstance(String name, String domain, String... flags) {
        relay(name + "/link", addresses.computeIfAbsent(name + "/peer", ignored -> reserveAddress()));
        List<String> all = new ArrayList<>(List.of("--advertised-peer-address", address(name + "/link")));
        all.addAll(List.of(flags));
        return instance(name, domain, all.toArray(String[]::new));
    }

    /** Starts a relay that forwards to an address, and records its own address and that of its control endpoint. */
    Fleet relay(String name, String forward) {
        start(name, "org.tanagermoor.standin.link.LinkMain", List.of("--forward-address", forward));
        String[] ready = processes.get(name).awaitReady().split(" control ");
        addresses.put(name, ready[0]);
        addresses.put(name + "/control", ready[1]);
        return this;
    }

    /** Starts a relay in front of the platform or of a target, which must have been started before. */
    Fleet relayTo(String name) {
        return relay(name + "/link", address(name));
    }

    /** Returns the address of the relay in front of a process, or its own address if there is no relay. */
    String reachableAddress(String name) {
        return addresses.getOrDefault(name + "/link", address(name));
    }

    /** Waits until all instances are ready and have full standing in one view. */
    Fleet awaitInstances() {
        instances.forEach(name -> process(name).awaitReady());
        instances.forEach(this::awaitStanding);
        return this;
    }

    /** Waits until an instance has full standing in an accepted view with as many members as there are instances. */
    void awaitStanding(String name) {
        await(name + " sees " + instances.size() + " members with standing", () -> {
            JsonNode status = status(name);
            return status.path("standing").asText().equals("full")
                    && status.path("view_accepted").asBoolean()
                    && status.path("members").size() == instances.size();
        });
    }

    /**
     * Starts a platform and three failure domains with an instance and a target each, and configures them to serve
     * the team alder.
     */
    static Fleet startServing(String rate, String... targetFlags) {
        Fleet fleet = new Fleet().platform();
        for (int index = 1; index <= 3; index++) {
            fleet.target("t" + index, targetFlags);
        }
        for (int index = 1; index <= 3; index++) {
            fleet.instance("e" + index, "d" + index);
        }
        return fleet.configureService(rate);
    }

    /** Waits for the instances, then declares the service, three targets and the team alder, and awaits an answer. */
    Fleet configureService(String rate) {
        awaitInstances();
        runOrFail("service put " + MODEL);
        for (int index = 1; index <= 3; index++) {
            runOrFail("target put t" + index + " --service " + MODEL + " --domain d" + index
                    + " --capacity 16 --cold-capacity 16 --address " + reachableAddress("t" + index));
        }
        runOrFail("team put alder --rate " + rate + " --burst " + rate);
        useKey(giveKey());
        runUntil("submit online --model " + MODEL + " --max-tokens 1 begin", result -> result.code() == ExitCode.DONE);
        return this;
    }

    /** Creates a key for the team alder and returns it. */
    String giveKey() {
        String out = runOrFail("key give alder").out();
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

    /** Excludes an instance from the addresses that the tool uses and from the expected number of members. */
    void excludeInstance(String name) {
        instances.remove(name);
    }

    /** Includes an instance again that {@link #excludeInstance} has excluded. */
    void includeInstance(String name) {
        instances.add(name);
    }

    /** Sets the caller's key that later commands use. */
    void useKey(String value) {
        key = value;
    }

    /** Returns the status of an instance, or an empty object if the instance does not answer. */
    JsonNode status(String name) {
        Result result = run("--instances " + address(name) + " --timeout-millis 2000 --json instance");
        return result.code() == ExitCode.DONE
                ? Json.read("status", result.out().getBytes(StandardCharsets.UTF_8))
                        .get()
                : Json.mapper().createObjectNode();
    }

    /** Runs the tool in this process; spaces separate the arguments, so no argument can contain one. */
    Result run(String commandLine) {
        return run(List.of(commandLine.split(" ")), "");
    }

    Result run(List<String> toolArguments, String input) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        List<String> all = instances.stream().map(this::address).toList();
        ExitCode code = Tool.run(
                toolArguments,
                new ToolContext(
                        environment(String.join(",", all), key),
                        new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
                        new PrintStream(out, true, StandardCharsets.UTF_8),
                        new PrintStream(err, true, StandardCharsets.UTF_8)));
        return new Result(code, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
    }

    /** Runs the tool and throws an exception unless it ends with {@link ExitCode#DONE}. */
    Result runOrFail(String commandLine) {
        Result result = run(commandLine);
        if (result.code() != ExitCode.DONE) {
            throw new IllegalStateException(commandLine + ": " + result);
        }
        return result;
    }

    /** Repeats a command until its result matches, and returns that result. */
    Result runUntil(String commandLine, Predicate<Result> expected) {
        Result[] lastResult = new Result[1];
        await(commandLine, () -> {
            lastResult[0] = run(commandLine);
            return expected.test(lastResult[0]);
        });
        return lastResult[0];
    }

    /** Polls a condition until it is true; on a timeout, throws an exception with the output of all processes. */
    void await(String description, BooleanSupplier condition) {
        long deadline = System.currentTimeMillis() + TIMEOUT_MILLIS;
        while (!condition.getAsBoolean()) {
            if (System.currentTimeMillis() > deadline) {
                StringBuilder report = new StringBuilder("timed out waiting for: " + description);
                processes.forEach((name, process) ->
                        report.append("\n--- ").append(name).append('\n').append(process.output()));
                throw new IllegalStateException(report.toString());
            }
            try {
                Thread.sleep(POLL_INTERVAL_MILLIS);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
                throw new IllegalStateException(exception);
            }
        }
    }

    @Override
    public void close() {
        processes.values().forEach(StartedProcess::close);
        reservedAddresses.forEach(ReservedAddress::close);
    }

    private void start(String name, String mainClass, List<String> arguments) {
        StartedProcess previous = processes.put(name, StartedProcess.start(name, mainClass, arguments));
        if (previous != null) {
            previous.close();
        }
    }

    private String reserveAddress() {
        ReservedAddress address = ReservedAddress.of();
        reservedAddresses.add(address);
        return address.address();
    }

    /** The exit code and the output of a command. */
    record Result(ExitCode code, String out, String err) {}

    private static Map<String, String> environment(String instances, String key) {
        return Map.of(
                "TANAGERMOOR_INSTANCES", instances, "TANAGERMOOR_OPERATOR_KEY", "operator", "TANAGERMOOR_KEY", key);
    }
}
