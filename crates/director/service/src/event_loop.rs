//! The event loop: hands every event to the reducer and has the adapters perform the effects that it asks for.

use crate::adapters::task::AbortOnDropTask;
use crate::adapters::Adapters;
use crate::signals::Signals;
use crate::{config_file, operator_file_reader};
use coppersail_director::reducer::{Event, FileError, Reducer};
use std::ops::ControlFlow;
use tokio::sync::mpsc::{Receiver, Sender};

/// The running director.
// Fields are dropped in this order: the adapters shut down before the event receiver, to which the change log's
// thread still sends its last events.
pub(crate) struct EventLoop {
    /// Reloads the operators' file. A later reload replaces one that is still running, as only the file's last
    /// content counts.
    operator_file_task: Option<AbortOnDropTask>,
    adapters: Adapters,
    events: Receiver<Event>,
    event_sender: Sender<Event>,
    reducer: Reducer,
    signals: Signals,
    /// `None` if operators' changes are disabled.
    operator_file_path: Option<String>,
}

impl EventLoop {
    /// Creates the loop; the adapters send to `event_sender`, the other end of `events`.
    pub(crate) fn new(
        reducer: Reducer,
        adapters: Adapters,
        events: Receiver<Event>,
        event_sender: Sender<Event>,
        signals: Signals,
        operator_file_path: Option<String>,
    ) -> Self {
        EventLoop {
            operator_file_task: None,
            adapters,
            events,
            event_sender,
            reducer,
            signals,
            operator_file_path,
        }
    }

    /// Runs until the reducer requests the exit.
    pub(crate) async fn run(mut self) {
        let mut batch = vec![Event::TimerFired];
        loop {
            // Everything that has arrived in the meantime forms one batch, which the reducer decides on as a whole.
            while let Ok(event) = self.events.try_recv() {
                batch.push(event);
            }
            if self.reduce(&mut batch).is_break() {
                return;
            }
            batch.push(self.next_event().await);
        }
    }

    /// Handles all events of the batch at the same point in time, and performs the effects.
    fn reduce(&mut self, batch: &mut Vec<Event>) -> ControlFlow<()> {
        let now = self.adapters.timer.now();
        for event in batch.drain(..).chain([Event::EndOfBatch]) {
            for effect in self.reducer.reduce(now, event) {
                self.adapters.perform(effect)?;
            }
        }
        ControlFlow::Continue(())
    }

    async fn next_event(&mut self) -> Event {
        let Adapters { listener, timer, is_accepting, .. } = &mut self.adapters;
        tokio::select! {
            event = listener.accept(), if *is_accepting => event,
            Some(event) = self.events.recv() => event,
            _ = timer.elapsed() => Event::TimerFired,
            _ = self.signals.log_counters.recv() => Event::LogCounters,
            _ = self.signals.reload.recv() => self.reload(),
            _ = self.signals.terminate.recv() => Event::Shutdown,
        }
    }

    /// Reads the configuration again. The operators' file follows as an event of its own, since evaluating a template
    /// takes time and must not block the loop.
    fn reload(&mut self) -> Event {
        let config = config_file::read().map_err(FileError::new);
        if let Some(path) = self.operator_file_path.clone() {
            let known = self.reducer.settings_names().clone();
            let events = self.event_sender.clone();
            self.operator_file_task = Some(AbortOnDropTask::spawn(async move {
                let operator_file = operator_file_reader::read(&path, &known).await;
                let operator_file = operator_file.map_err(FileError::new);
                let _ = events.send(Event::OperatorFile(Box::new(operator_file))).await;
            }));
        }
        Event::Reload(Box::new(config))
    }
}
