package org.tanagermoor.kernel.plugin;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.event.EventRecord;
import org.tanagermoor.kernel.event.KernelEvent;
import org.tanagermoor.kernel.setting.Setting;
import org.tanagermoor.kernel.setting.Settings;
import org.tanagermoor.kernel.time.TimeSource;

class KernelTest {

    private static final Setting<String> SHARED = Setting.ofText("shared", "a shared setting", "x");

    private final List<String> steps = new ArrayList<>();

    private final Context context = Context.of(
            Settings.parse(List.of(), List.of(), Map.of()).get(),
            EventLog.Default.of("test", TimeSource.ForSystem.INSTANCE),
            new MetricRegistry(),
            TimeSource.ForSystem.INSTANCE);

    @Test
    void startsInDependencyOrderAndStopsInReverse() {
        Kernel kernel = Kernel.of(List.of(plugin("a", "c"), plugin("b"), plugin("c", "b")));

        kernel.start(context);
        kernel.stop(context);

        assertThat(
                steps,
                contains(
                        "start b", "start c", "start a", "drain a", "drain c", "drain b", "stop a", "stop c",
                        "stop b"));
    }

    @Test
    void stopsStartedPluginsWhenAStartFails() {
        Kernel kernel = Kernel.of(List.of(plugin("a"), plugin("fails", "a")));

        assertThrows(IllegalStateException.class, () -> kernel.start(context));
        assertThat(steps, contains("start a", "start fails", "drain fails", "drain a", "stop fails", "stop a"));
    }

    @Test
    void recordsAPluginThatFailsToStopAndStopsTheOthers() {
        Kernel kernel = Kernel.of(List.of(plugin("a"), plugin("stuck", "a")));

        kernel.start(context);
        kernel.stop(context);

        assertThat(steps, contains("start a", "start stuck", "drain stuck", "drain a", "stop a"));
        List<EventRecord> failures = context.events().since(0, Integer.MAX_VALUE).stream()
                .filter(event -> event.type() == KernelEvent.STOP_FAILED)
                .toList();
        assertThat(failures.size(), is(1));
        assertThat(failures.get(0).fields().get("plugin"), is("stuck"));
    }

    @Test
    void refusesCyclesMissingPluginsAndDuplicateNames() {
        assertThrows(IllegalArgumentException.class, () -> Kernel.of(List.of(plugin("a", "b"), plugin("b", "a"))));
        assertThrows(IllegalArgumentException.class, () -> Kernel.of(List.of(plugin("a", "missing"))));
        assertThrows(IllegalArgumentException.class, () -> Kernel.of(List.of(plugin("a"), plugin("a"))));
    }

    @Test
    void returnsASharedSettingOnce() {
        assertThat(Kernel.of(List.of(plugin("a"), plugin("b"))).settings().size(), is(1));
    }

    @Test
    void findsServicesByType() {
        context.register(String.class, "service");

        assertThat(context.service(String.class), is("service"));
        assertThrows(IllegalStateException.class, () -> context.register(String.class, "another"));
        assertThrows(IllegalStateException.class, () -> context.service(Integer.class));
    }

    private Plugin plugin(String name, String... requirements) {
        return new Plugin() {
            @Override
            public String name() {
                return name;
            }

            @Override
            public Set<String> requires() {
                return Set.of(requirements);
            }

            @Override
            public List<Setting<?>> settings() {
                return List.of(SHARED);
            }

            @Override
            public void start(Context given) {
                steps.add("start " + name);
                if (name.equals("fails")) {
                    throw new IllegalStateException(name);
                }
            }

            @Override
            public void drain() {
                steps.add("drain " + name);
            }

            @Override
            public void stop() {
                if (name.equals("stuck")) {
                    throw new IllegalStateException(name);
                }
                steps.add("stop " + name);
            }
        };
    }
}
