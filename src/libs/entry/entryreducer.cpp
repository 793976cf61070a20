#include "entryreducer.h"

#include <iterator>
#include <utility>
#include <variant>

namespace LaburnumFlow::Entry {

namespace {

void append(Events::Effects &effects, Events::Effects &&more)
{
    effects.insert(effects.end(), std::make_move_iterator(more.begin()), std::make_move_iterator(more.end()));
}

void appendHandover(Events::Effects &effects, const EntryState &state, const Cluster::HandoverDue &due)
{
    Protocol::LedgerHandover handover;
    handover.from = state.cluster.self.id;
    handover.epoch = state.cluster.map ? state.cluster.map->epoch : 0;
    handover.partitions = due.partitions;
    handover.records = Dispatch::ledgerRecords(state.dispatch, due.partitions);
    effects.emplace_back(Events::SendToPeer{due.newOwner, std::move(handover)});
}

void answerStatus(Events::Effects &effects, const EntryState &state, Events::RequestId request)
{
    Events::AnswerOperator answer;
    answer.request = request;
    answer.rows = Cluster::statusRows(state.cluster);
    std::vector<Events::StatusRow> more = Dispatch::statusRows(state.dispatch);
    std::move(more.begin(), more.end(), std::back_inserter(answer.rows));
    effects.emplace_back(std::move(answer));
}

} // namespace

Events::Effects reduce(EntryState &state, const Events::Event &event)
{
    Cluster::Step step = Cluster::reduce(state.cluster, event);
    Events::Effects effects = std::move(step.effects);
    for (const Cluster::Change &change : step.changes) {
        if (const auto *due = std::get_if<Cluster::HandoverDue>(&change)) {
            appendHandover(effects, state, *due);
        }
        append(effects, Dispatch::applyChange(state.dispatch, state.cluster, change));
    }
    append(effects, Dispatch::reduce(state.dispatch, state.cluster, event));

    if (const auto *status = std::get_if<Events::StatusRequested>(&event)) {
        answerStatus(effects, state, status->request);
    }
    if (std::holds_alternative<Events::DrainRequested>(event)) {
        state.draining = true;
    }
    if (state.draining && !state.exitSent && state.cluster.leaveFinished && Dispatch::isIdle(state.dispatch)) {
        state.exitSent = true;
        effects.emplace_back(Events::Exit{});
    }
    return effects;
}

} // namespace LaburnumFlow::Entry
