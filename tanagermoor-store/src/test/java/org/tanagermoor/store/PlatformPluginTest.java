package org.tanagermoor.store;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import com.codahale.metrics.MetricRegistry;
import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.ServiceLoader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.plugin.Context;
import org.tanagermoor.kernel.plugin.Kernel;
import org.tanagermoor.kernel.plugin.Plugin;
import org.tanagermoor.kernel.setting.Settings;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.store.listing.InstanceList;
import org.tanagermoor.store.object.ObjectStore;
import org.tanagermoor.store.table.TableService;

class PlatformPluginTest {

    private final Kernel kernel = Kernel.of(List.of(new PlatformPlugin()));

    @ParameterizedTest
    @CsvSource({"embedded, InMemory", "127.0.0.1:1, ForHttp"})
    void registersAllServices(String address, String implementation) {
        Context context = Context.of(
                settings("--platform-address", address).get(),
                new EventLog.Disabled(),
                new MetricRegistry(),
                TimeSource.ForSystem.INSTANCE);
        kernel.start(context);

        for (Class<?> type : List.of(TableService.class, ObjectStore.class, InstanceList.class)) {
            assertThat(context.service(type).getClass().getSimpleName(), is(implementation));
        }
        kernel.stop(context);
    }

    @Test
    void rejectsMissingAndMalformedAddress() {
        assertThat(settings().isLeft(), is(true));
        assertThat(
                settings("--platform-address", "elsewhere").getLeft(),
                contains("--platform-address (TANAGERMOOR_PLATFORM_ADDRESS) is not of the form ip:port: elsewhere"));
    }

    @Test
    void isFoundByTheServiceLoader() {
        List<Plugin> found = Kernel.of(ServiceLoader.load(Plugin.class).stream()
                        .map(ServiceLoader.Provider::get)
                        .filter(plugin -> plugin.name().equals(PlatformPlugin.NAME))
                        .toList())
                .plugins();

        assertThat(found, contains(instanceOf(PlatformPlugin.class)));
    }

    private Either<List<String>, Settings> settings(String... arguments) {
        return Settings.parse(kernel.settings(), List.of(arguments), Map.of());
    }
}
