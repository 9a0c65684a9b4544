package org.persimmonwalk.entryhost;

import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;
import org.persimmonwalk.admission.AdmissionPolicy;
import org.persimmonwalk.admission.AdmitAll;
import org.persimmonwalk.admission.KeyPolicy;
import org.persimmonwalk.admission.KeyVerifier;
import org.persimmonwalk.admission.LeasedAdmission;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.blackboard.SnapshotListener;
import org.persimmonwalk.retry.BudgetedRetryPolicy;
import org.persimmonwalk.retry.NeverRetry;
import org.persimmonwalk.retry.RetryPolicy;
import org.persimmonwalk.routing.PrimaryOnlyRouter;
import org.persimmonwalk.routing.RequestRouter;
import org.persimmonwalk.routing.ServerLoad;
import org.persimmonwalk.routing.SessionRouter;

/**
 * The policies by which an entry host authenticates callers and admits, routes and retries
 * statements.
 *
 * @param keys decides whether a caller key grants access to a workspace
 * @param admission decides whether a workspace may run another statement now
 * @param router creates the router, which chooses the backend server of a statement
 * @param retries decides whether a failed statement is retried
 * @param listeners the policies that need each new snapshot of the control state
 */
public record TrafficPolicies(
    KeyVerifier keys,
    AdmissionPolicy admission,
    RouterFactory router,
    RetryPolicy retries,
    List<SnapshotListener> listeners) {

  /** Checks that all parts are present. */
  public TrafficPolicies {
    Objects.requireNonNull(keys, "keys");
    Objects.requireNonNull(admission, "admission");
    Objects.requireNonNull(router, "router");
    Objects.requireNonNull(retries, "retries");
    listeners = List.copyOf(listeners);
  }

  /** Creates the policies of one entry host. */
  public interface Factory {
    /** Returns policies that post their measurements as observations to the given consumer. */
    TrafficPolicies create(Consumer<Observation> observations);
  }

  /** Creates a router that takes into account how much this host uses each backend server. */
  public interface RouterFactory {
    /** Returns a router that reads the given load. */
    RequestRouter create(ServerLoad load);
  }

  /** Returns the policies for production use. */
  public static TrafficPolicies standard(Consumer<Observation> observations) {
    LeasedAdmission admission = LeasedAdmission.of(observations);
    return new TrafficPolicies(
        KeyPolicy.create(),
        admission,
        SessionRouter::of,
        BudgetedRetryPolicy.create(),
        List.of(admission));
  }

  /**
   * Returns the policies of the baseline for comparisons: every statement is admitted, runs on the
   * primary and is never retried.
   */
  public static TrafficPolicies primaryOnly(Consumer<Observation> observations) {
    return new TrafficPolicies(
        KeyPolicy.create(),
        AdmitAll.create(),
        load -> PrimaryOnlyRouter.create(),
        NeverRetry.create(),
        List.of());
  }
}
