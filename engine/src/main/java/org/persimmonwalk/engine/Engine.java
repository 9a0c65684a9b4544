package org.persimmonwalk.engine;

import java.time.Duration;
import java.util.List;
import org.persimmonwalk.blackboard.ControlLoop;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.Snapshot;
import org.persimmonwalk.blackboard.SnapshotListener;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.EngineSettings;
import org.persimmonwalk.engine.control.HostResumed;
import org.persimmonwalk.internal.engine.control.ColdServerController;
import org.persimmonwalk.internal.engine.control.EraSettlementController;
import org.persimmonwalk.internal.engine.control.EvacuationController;
import org.persimmonwalk.internal.engine.control.FleetSizeController;
import org.persimmonwalk.internal.engine.control.LenderController;
import org.persimmonwalk.internal.engine.control.PrimaryViewController;
import org.persimmonwalk.internal.engine.control.PromotionController;
import org.persimmonwalk.internal.engine.control.RateController;
import org.persimmonwalk.internal.engine.control.RelayController;
import org.persimmonwalk.internal.engine.control.RestartNoticeController;
import org.persimmonwalk.internal.engine.control.ServerListController;
import org.persimmonwalk.internal.engine.control.ServerLoadController;
import org.persimmonwalk.internal.engine.control.StopController;
import org.persimmonwalk.internal.engine.control.StoreEraController;
import org.persimmonwalk.internal.engine.control.SuspensionController;
import org.persimmonwalk.internal.engine.control.SuspicionController;
import org.persimmonwalk.internal.engine.control.TokenExchangeController;
import org.persimmonwalk.internal.engine.control.VerificationController;
import org.persimmonwalk.internal.engine.control.ZoneExchangeController;
import org.persimmonwalk.internal.engine.traffic.Sessions;
import org.persimmonwalk.internal.engine.traffic.StatusRequestGate;
import org.persimmonwalk.internal.engine.traffic.TrafficContext;
import org.persimmonwalk.internal.engine.traffic.TrafficMeter;
import org.persimmonwalk.port.CommandExecutor;
import org.persimmonwalk.port.MonotonicClock;

/**
 * The engine of one entry host: the control loop with its controllers, and the sessions of callers.
 * A front end creates it and runs both parts, each on its own thread.
 */
public final class Engine {
  private final ControlLoop loop;
  private final Sessions sessions;

  private Engine(ControlLoop loop, Sessions sessions) {
    this.loop = loop;
    this.sessions = sessions;
  }

  /**
   * Creates an engine without starting it. The control loop must run on one thread and the sessions
   * on the thread of the scheduler.
   */
  public static Engine create(
      EngineSettings settings,
      EngineSources sources,
      TrafficScheduler scheduler,
      BackendConnector connector,
      CommandExecutor executor,
      DecisionLog log,
      TrafficMeter meter) {
    MonotonicClock clock = sources.clock();
    SuspensionDetector suspension = sources.suspension();
    List<Controller> controllers =
        List.of(
            StopController.create(),
            SuspensionController.create(suspension),
            StoreEraController.create(log, meter, suspension),
            RelayController.create(settings, log),
            VerificationController.create(settings, log),
            EraSettlementController.create(settings, log),
            ServerListController.create(settings, log),
            EvacuationController.create(settings, log, suspension),
            RestartNoticeController.create(settings, log, meter),
            ColdServerController.create(settings, log),
            PrimaryViewController.create(settings.timings(), log),
            SuspicionController.create(settings, log),
            PromotionController.create(settings, log, suspension),
            FleetSizeController.create(settings, log),
            LenderController.create(settings, log),
            RateController.create(settings, log, suspension),
            TokenExchangeController.create(settings),
            ServerLoadController.create(settings),
            ZoneExchangeController.create(settings, suspension));
    StatusRequestGate gate = new StatusRequestGate(executor, scheduler);
    ControlLoop loop =
        ControlLoop.of(
            controllers,
            settings.coldBounds().isPresent() ? gate : executor,
            clock,
            sources.random());
    suspension.whenResumed(() -> loop.post(new HostResumed()));
    TrafficContext context =
        new TrafficContext(
            settings,
            settings.timings(),
            clock,
            sources.random(),
            scheduler,
            connector,
            loop::snapshot,
            loop::post,
            log,
            meter,
            suspension);
    Sessions sessions = Sessions.create(context);
    gate.connect(sessions, loop);
    loop.addListener(new TrafficNotifier(scheduler, sessions));
    return new Engine(loop, sessions);
  }

  /** Returns the control loop. */
  public ControlLoop loop() {
    return loop;
  }

  /** Returns the sessions, which may be used on the traffic thread only. */
  public Sessions sessions() {
    return sessions;
  }

  /** Notifies the traffic thread when entries that it acts on have changed. */
  private static final class TrafficNotifier implements SnapshotListener {
    private final TrafficScheduler scheduler;
    private final Sessions sessions;
    private List<Object> last = List.of();

    private TrafficNotifier(TrafficScheduler scheduler, Sessions sessions) {
      this.scheduler = scheduler;
      this.sessions = sessions;
    }

    @Override
    public void onPublished(Snapshot snapshot) {
      List<Object> current =
          List.of(
              snapshot.get(EngineEntries.TOKENS),
              snapshot.get(EngineEntries.NO_TOKEN_BEFORE),
              snapshot.get(EngineEntries.SERVERS),
              snapshot.get(EngineEntries.EVACUATIONS),
              snapshot.get(EngineEntries.PRIMARIES));
      boolean changed = last.size() != current.size();
      for (int i = 0; !changed && i < current.size(); i++) {
        changed = last.get(i) != current.get(i);
      }
      if (changed) {
        last = current;
        scheduler.schedule(Duration.ZERO, sessions::onSnapshotChanged);
      }
    }
  }
}
