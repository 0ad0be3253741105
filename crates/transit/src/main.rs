fn main() {
    loop {
        std::thread::park();
    }
}
