package org.tanagermoor.store;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.kernel.plugin.Context;
import org.tanagermoor.kernel.plugin.Plugin;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.kernel.setting.Setting;
import org.tanagermoor.store.client.CallLimits;
import org.tanagermoor.store.client.PlatformClient;
import org.tanagermoor.store.listing.InstanceList;
import org.tanagermoor.store.object.ObjectStore;
import org.tanagermoor.store.table.TableService;

/** The plug-in that registers the platform's table service, object store and instance list. */
public final class PlatformPlugin implements Plugin {

    /** The name under which other plug-ins require this one. */
    public static final String NAME = "platform";

    /** The value of {@link #ADDRESS} that selects a platform in the memory of this process. */
    public static final String EMBEDDED = "embedded";

    /** The address of the platform, or empty for a platform in the memory of this process. */
    public static final Setting<Optional<Address>> ADDRESS = new Setting<>(
            "platform-address",
            "the address of the platform, as ip:port, or " + EMBEDDED + " for one in memory that keeps nothing",
            null,
            PlatformPlugin::address);

    /** The time within which a call to the platform ends, with an answer or a failure. */
    public static final Setting<Duration> DEADLINE = Setting.ofMillis(
            "platform-deadline",
            "the time within which a call of the platform ends, in milliseconds",
            Long.toString(CallLimits.DEFAULT.deadline().toMillis()),
            10,
            60_000);

    /** The maximum number of calls to the platform that are in flight at once. */
    public static final Setting<Long> IN_FLIGHT = Setting.ofNumber(
            "platform-in-flight",
            "the most calls of the platform that are in flight at once",
            Integer.toString(CallLimits.DEFAULT.inFlight()),
            1,
            10_000);

    /** {@code null} before the start, and always for an embedded platform. */
    @Nullable
    private PlatformClient client;

    /** {@inheritDoc} */
    @Override
    public String name() {
        return NAME;
    }

    /** {@inheritDoc} */
    @Override
    public Set<String> requires() {
        return Set.of();
    }

    /** {@inheritDoc} */
    @Override
    public List<Setting<?>> settings() {
        return List.of(ADDRESS, DEADLINE, IN_FLIGHT);
    }

    /** {@inheritDoc} */
    @Override
    public void start(Context context) {
        Optional<Address> address = context.settings().value(ADDRESS);
        if (address.isPresent()) {
            registerHttp(context, address.get());
        } else {
            registerInMemory(context);
        }
        String name = address.map(Address::toString).orElse(EMBEDDED);
        context.events().record(PlatformEvent.STARTED, "address", name);
    }

    /** {@inheritDoc} */
    @Override
    public void stop() {
        if (client != null) {
            client.close();
        }
    }

    /** Registers services that keep their data in the memory of this process. */
    private static void registerInMemory(Context context) {
        context.register(TableService.class, TableService.InMemory.of());
        context.register(ObjectStore.class, ObjectStore.InMemory.of());
        context.register(InstanceList.class, InstanceList.InMemory.of(Duration.ZERO, context.time()));
    }

    /** Registers services that call the platform over HTTP. */
    private void registerHttp(Context context, Address address) {
        CallLimits limits = new CallLimits(
                context.settings().value(DEADLINE),
                context.settings().value(IN_FLIGHT).intValue());
        PlatformClient httpClient =
                PlatformClient.of(address, limits, context.metrics(), context.events(), context.time());
        client = httpClient;
        context.register(TableService.class, TableService.ForHttp.of(httpClient, context.events()));
        context.register(ObjectStore.class, ObjectStore.ForHttp.of(httpClient));
        context.register(InstanceList.class, InstanceList.ForHttp.of(httpClient));
    }

    /**
     * Parses the value of {@link #ADDRESS}.
     *
     * @return The address, empty for an embedded platform, or a description of the error in the text.
     */
    private static Either<String, Optional<Address>> address(String text) {
        return text.equals(EMBEDDED)
                ? Either.right(Optional.empty())
                : Address.parse(text).map(Optional::of);
    }
}
